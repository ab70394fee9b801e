import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'tools/**/*.test.ts'],
		setupFiles: ['tools/pass-over-known-red.ts'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		// The process proofs check time limits; on a small machine, test files running in parallel could delay them.
		maxWorkers: 1,
		maxConcurrency: 3,
		minWorkers: 1,
	},
});
