const layers = {
	protocol: ['transport', 'state', 'coordination', 'daemon'],
	transport: ['state', 'coordination', 'daemon'],
	state: ['transport', 'coordination', 'daemon'],
	coordination: ['daemon'],
};

// Each layer may call only those below it; docs/ARCHITECTURE.md has the picture.
const layerRules = Object.entries(layers).map(([layer, above]) => ({
	files: [`src/${layer}/**/*.ts`],
	rules: {
		'no-restricted-imports': ['error', {patterns: above.map(name => ({group: [`**/${name}/**`], message: `The ${layer} layer does not call the ${name} layer.`}))}],
	},
}));

export default [
	{ignores: ['dist/**', 'src/protocol/gen/**']},
	{
		rules: {
			// `Ok` and `Err` are the names that ts-results gives its functions.
			'new-cap': ['error', {newIsCap: true, capIsNew: true, capIsNewExceptions: ['Ok', 'Err']}],
			// One task for each connection and peer, written straight down, awaits in loops.
			'no-await-in-loop': 'off',
		},
	},
	{
		// The platform's names are translated here and nowhere else.
		files: ['platform/**/*.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off', camelcase: 'off'},
	},
	...layerRules,
];
