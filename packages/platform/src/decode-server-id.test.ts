import test from 'ava';
import {decodeServerId} from './decode-server-id.js';

test('an id is read as it stands, and one that is empty or too long is refused', t => {
	t.is(decodeServerId('i-7f3a91c2').map(String).extract(), 'i-7f3a91c2');
	for (const text of ['', 'i'.repeat(257)]) {
		const failed = decodeServerId(text).swap().unsafeCoerce();
		t.is(failed.kind, 'malformed-request');
		t.regex(failed.message, /wanted 1 to 256/v);
	}
});
