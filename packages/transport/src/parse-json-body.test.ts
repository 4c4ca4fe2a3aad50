import test from 'ava';
import * as z from 'zod';
import {parseJsonBody, type ParseJsonBodyOptions} from './parse-json-body.js';

const schema = z.strictObject({cut: z.array(z.string())});

function parse(text: string, options?: ParseJsonBodyOptions): unknown {
	return parseJsonBody({bytes: new TextEncoder().encode(text), schema}, options).extract();
}

test('a body that matches the schema is returned', t => {
	t.deepEqual(parse('{"cut": ["entry-1"]}'), {cut: ['entry-1']});
});

test('invalid JSON and schema mismatches fail with the configured kind and message', t => {
	t.like(parse('{'), {kind: 'malformed-request', message: 'The body is not JSON'});
	t.like(parse('{', {invalidJsonMessage: 'Got no cut'}), {kind: 'malformed-request', message: 'Got no cut'});
	t.like(parse('{"cut": [1]}'), {kind: 'malformed-request', message: 'cut.0: Invalid input: expected string, received number'});
	t.like(parse('{}', {schemaMismatchKind: 'invalid-configuration', schemaMismatchMessage: 'Got no cut'}), {kind: 'invalid-configuration', message: 'Got no cut'});
});
