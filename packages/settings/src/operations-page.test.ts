import {readFile} from 'node:fs/promises';
import test from 'ava';
import * as z from 'zod';
import {settingsSchema} from './settings-schema.js';

const pageUrl = new URL('../../../docs/OPERATIONS.md', import.meta.url);

type JsonSchema = {
	readonly properties?: Readonly<Record<string, JsonSchema>>;
};

function * listLeafPaths(schema: JsonSchema, path = ''): Generator<string> {
	for (const [name, field] of Object.entries(schema.properties ?? {})) {
		const fieldPath = path === '' ? name : `${path}.${name}`;
		if (field.properties === undefined) {
			yield fieldPath;
		} else {
			yield * listLeafPaths(field, fieldPath);
		}
	}
}

function isListed(page: string, path: string): boolean {
	const [block, ...rest] = path.split('.');
	const last = rest.at(-1);
	// The row `listen.callers` covers `listen.callers.host`. Further names in a row are written as `.name`.
	const names = [path, `${block}.${rest[0] ?? ''}`, ...(last === undefined ? [] : [`.${last}`]), ...(rest[0] === undefined ? [] : [`.${rest[0]}`])];
	return names.some(name => page.includes(`\`${name}\``));
}

test('OPERATIONS.md lists every setting', async t => {
	const page = await readFile(pageUrl, 'utf8');
	const schema = z.toJSONSchema(settingsSchema, {unrepresentable: 'any', io: 'input'}) as JsonSchema;
	const leaves = [...listLeafPaths(schema)];
	t.true(leaves.length > 20, `found only ${leaves.length} settings`);
	t.deepEqual(leaves.filter(path => !isListed(page, path)), []);
});
