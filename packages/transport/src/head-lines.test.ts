import {Buffer} from 'node:buffer';
import test from 'ava';
import {HeadLines, type HeadProblem} from './_head-lines.js';

const maximumInterimAnswers = 64;
const field = 'Content-Length: 2\r\n';
const bytes = Array.from({length: 256}, (_, byte) => String.fromCodePoint(byte));
/** The control bytes but those that may be in a line, a tab, or end it. */
const controls = bytes.filter((byte, index) => (index < 32 || index === 127) && !'\t\r\n'.includes(byte));

/** Reads a head, in parts of the given length. */
function problemOf(head: string, partLength = head.length): HeadProblem | undefined {
	const lines = new HeadLines();
	for (let position = 0; position < head.length; position += partLength) {
		lines.push(Buffer.from(head.slice(position, position + partLength), 'latin1'), maximumInterimAnswers);
	}

	return lines.problem;
}

function withStatusLine(line: string): string {
	return `${line}\r\n${field}\r\n`;
}

function withField(line: string): string {
	return `HTTP/1.1 200 OK\r\n${line}\r\n${field}\r\n`;
}

test('the status of an answer is one that it may have', t => {
	for (let status = 0; status < 1000; status++) {
		const text = String(status).padStart(3, '0');
		const isPossible = status >= 100 && status < 600 && status !== 101;
		t.is(problemOf(withStatusLine(`HTTP/1.1 ${text} OK`)), isPossible ? undefined : 'status-line', `Status ${text}`);
	}
});

test('a status line is well-formed with any text or none as its reason phrase', t => {
	for (const line of ['HTTP/1.1 200', 'HTTP/1.1 200 ', 'HTTP/1.0 404 Not Found', 'HTTP/1.1 200 caf\u00E9\tb']) {
		t.is(problemOf(withStatusLine(line)), undefined, `${line}`);
		t.is(problemOf(withStatusLine(line), 1), undefined, `${line}`);
	}
});

test('a status line of another form is malformed', t => {
	const wrong = [
		'HTTP/1.1',
		'HTTP/1.1 ',
		'HTTP/1.1 20',
		'HTTP/1.1 2000 OK',
		'HTTP/1.1 2 0',
		'HTTP/1.1 -20',
		'HTTP/1.1  200',
		'HTTP/1.2 200 OK',
		'HTTP/2.0 200 OK',
		'HTTP/0.9 200 OK',
		'RTSP/1.0 200 OK',
		'http/1.1 200 OK',
		'ICY 200 OK',
		' HTTP/1.1 200 OK',
	];
	for (const line of [...wrong, ...controls.map(byte => `HTTP/1.1 200 O${byte}K`)]) {
		t.is(problemOf(withStatusLine(line)), 'status-line', `${JSON.stringify(line)}`);
		t.is(problemOf(withStatusLine(line), 1), 'status-line', `${JSON.stringify(line)}`);
	}
});

test('a header field whose name has a blank, a control byte or any other byte that it may not have is malformed', t => {
	const allowed = new Set('!#$%&\'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz');
	for (const byte of bytes.filter(byte => !'\r\n:'.includes(byte))) {
		const wanted = allowed.has(byte) ? undefined : 'header-field';
		for (const name of [`${byte}X`, `X${byte}Y`, `X${byte}`]) {
			t.is(problemOf(withField(`${name}: 1`)), wanted, `${JSON.stringify(name)}`);
		}
	}

	for (const line of [': 1', 'X', 'X 1', ' X: 1', '\tX: 1']) {
		t.is(problemOf(withField(line)), 'header-field', `${JSON.stringify(line)}`);
	}
});

test('a header field whose value has a control byte is malformed, and any other byte is a part of it', t => {
	for (const byte of bytes.filter(byte => !'\r\n'.includes(byte))) {
		const wanted = controls.includes(byte) ? 'header-field' : undefined;
		t.is(problemOf(withField(`X: a${byte}b`)), wanted, `${JSON.stringify(byte)}`);
	}

	t.is(problemOf(withField('X:')), undefined);
	t.is(problemOf(withField('X: a:b\t')), undefined);
});

test('a line that ends with one character is malformed', t => {
	for (const end of ['\n', '\r\r\n', '\rx']) {
		t.is(problemOf(`HTTP/1.1 200 OK${end}${field}\r\n`), 'line-end');
		t.is(problemOf(`HTTP/1.1 200 OK\r\n${field}${end}body`), 'line-end');
	}
});

test('what is malformed in an interim answer is found, and the body is not read', t => {
	t.is(problemOf(`HTTP/1.1 103 A\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n${field}\r\n`), 'header-field');
	t.is(problemOf(`HTTP/1.1 100 \u0001\r\n\r\nHTTP/1.1 200 OK\r\n${field}\r\n`), 'status-line');
	t.is(problemOf(`\r\nHTTP/1.1 103 A\r\n\r\nHTTP/1.1 200 OK\r\n${field}\r\n\0\n\r`), undefined);
	t.is(problemOf(`\r\nHTTP/1.1 103 A\r\n\r\nHTTP/1.1 200 OK\r\n${field}\r\n\0\n\r`, 1), undefined);
});
