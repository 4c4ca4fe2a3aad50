import test from 'ava';
import {decodeServerId} from './decode-server-id.js';

test('an id is decoded unchanged, and refused if it is empty or too long', t => {
	t.is(decodeServerId('i-7f3a91c2').map(String).extract(), 'i-7f3a91c2');
	for (const text of ['', 'i'.repeat(257)]) {
		const failed = decodeServerId(text).swap().unsafeCoerce();
		t.is(failed.kind, 'malformed-request');
		t.regex(failed.message, /expected 1 to 256/v);
	}
});
