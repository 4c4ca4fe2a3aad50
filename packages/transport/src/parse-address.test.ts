import test from 'ava';
import {parseAddress} from './parse-address.js';

test('an address has a host and a port, which is 80 if the URL names none', t => {
	t.deepEqual(parseAddress('http://127.0.0.1:9001'), {host: '127.0.0.1', port: 9001});
	t.deepEqual(parseAddress('http://engine.example/v1'), {host: 'engine.example', port: 80});
});
