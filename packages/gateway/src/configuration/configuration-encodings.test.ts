import test from 'ava';
import {ConfigurationEncodings} from './configuration-encodings.js';
import {decodeConfigurationParts} from './decode-configuration-parts.js';

function documentOf(version: number, count: number) {
	const routes = Array.from({length: count}, (_, index) => ({
		name: `r-${index}`, host: 'desk.example', pathPrefix: `/p${index}/`, timeoutMs: 5000 + (index === 7 ? version : 0),
	}));
	return {version, document: JSON.stringify({version, routes})};
}

for (const routes of [50, 1500, 5000]) {
	test(`a changed route of ${routes} costs a link less than a kilobyte`, t => {
		const encodings = new ConfigurationEncodings();
		encodings.record(documentOf(1, routes));
		encodings.record(documentOf(2, routes));
		const encoded = encodings.since(1)!;
		t.is(encoded.base, 1);
		t.true(encoded.parts.length < 1000);
		t.deepEqual(decodeConfigurationParts(encoded, documentOf(1, routes)).extract(), documentOf(2, routes));
	});
}

test('an instance that holds no version, or one that is not kept, gets the whole document', t => {
	const encodings = new ConfigurationEncodings();
	t.is(encodings.since(undefined), undefined);
	encodings.record(documentOf(5, 50));
	for (const held of [undefined, 3]) {
		const encoded = encodings.since(held)!;
		t.is(encoded.base, undefined);
		t.deepEqual(decodeConfigurationParts(encoded, undefined).extract(), documentOf(5, 50));
	}
});

test('an instance that holds the newest version gets nothing, also after an older one was recorded', t => {
	const encodings = new ConfigurationEncodings();
	encodings.record(documentOf(5, 1));
	encodings.record(documentOf(4, 1));
	t.is(encodings.since(5), undefined);
	t.is(encodings.since(6), undefined);
});

test('changes are not applied to another document of the same version', t => {
	const encodings = new ConfigurationEncodings();
	encodings.record(documentOf(1, 50));
	encodings.record(documentOf(2, 50));
	const encoded = encodings.since(1)!;
	const other = {version: 1, document: documentOf(1, 50).document.replace('"r-1"', '"x-1"')};
	t.true(decodeConfigurationParts(encoded, other).isLeft());
	t.true(decodeConfigurationParts(encoded, undefined).isLeft());
	t.true(decodeConfigurationParts({...encoded, parts: new Uint8Array([1, 2, 3])}, documentOf(1, 50)).isLeft());
});
