import {readFile} from 'node:fs/promises';
import test from 'ava';
import {withErrorTable} from './error-table.js';

const pageUrl = new URL('../../../docs/API.md', import.meta.url);

test('the page of interfaces shows the error table of the code', async t => {
	const page = await readFile(pageUrl, 'utf8');
	t.is(page, withErrorTable(page), 'Run npm run docs:errors');
});

test('a page without the marks is refused', t => {
	t.throws(() => withErrorTable('# Interfaces'), {instanceOf: RangeError});
});
