import {readFileSync, readdirSync} from 'node:fs';
import {expect, test} from 'vitest';
import {eventCatalogue, failureTable} from './mod.js';

const source = readdirSync('src', {recursive: true, encoding: 'utf8'})
	.filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts') && !file.endsWith('event-catalogue.ts'))
	.map(file => readFileSync(`src/${file}`, 'utf8'))
	.join('\n');

test('docs/EVENTS.md has every event with its number and text', () => {
	const page = readFileSync('docs/EVENTS.md', 'utf8');
	for (const [name, {number, text}] of Object.entries(eventCatalogue)) {
		expect(page).toContain(`| FL${number} | ${name} | ${text} |`);
	}
});

test('eventCatalogue has unique numbers and no event that the source never writes', () => {
	const numbers = Object.values(eventCatalogue).map(event => event.number);
	expect(new Set(numbers).size).toBe(numbers.length);
	expect(Object.keys(eventCatalogue).filter(name => !source.includes(`'${name}'`))).toEqual([]);
});

test('docs/ERRORS.md has every failure with its properties', () => {
	const page = readFileSync('docs/ERRORS.md', 'utf8');
	for (const [type, row] of Object.entries(failureTable)) {
		expect(page).toContain(`| ${type} | ${row.status} | ${row.retryable ? 'yes' : 'no'} | ${row.exitCode} | ${row.title} |`);
	}
});
