import {readFile} from 'node:fs/promises';
import test from 'ava';
import {replaceErrorTable} from './error-table.js';

const pageUrl = new URL('../../../docs/API.md', import.meta.url);

test('the API page has the current error table', async t => {
	const page = await readFile(pageUrl, 'utf8');
	t.is(page, replaceErrorTable(page), 'Run npm run docs:errors');
});

test('a page without the markers is rejected', t => {
	t.throws(() => replaceErrorTable('# Interfaces'), {instanceOf: RangeError});
});
