import test from 'ava';
import {hasTransferCoding} from './has-transfer-coding.js';

test('a body without a coding or in chunks only has no transfer coding', t => {
	t.false(hasTransferCoding({}));
	t.false(hasTransferCoding({'transfer-encoding': 'chunked'}));
	t.false(hasTransferCoding({'transfer-encoding': ' Chunked '}));
});

test('a body in any other coding has a transfer coding, also in chunks', t => {
	t.true(hasTransferCoding({'transfer-encoding': 'gzip, chunked'}));
	t.true(hasTransferCoding({'transfer-encoding': 'gzip'}));
	t.true(hasTransferCoding({'transfer-encoding': ''}));
});
