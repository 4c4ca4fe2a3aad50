import {Buffer} from 'node:buffer';
import test from 'ava';
import * as fc from 'fast-check';
import {EventStream} from './event-stream.js';

function textOf(bytes: Uint8Array | undefined): string | undefined {
	return bytes && Buffer.from(bytes).toString();
}

test('only complete events are returned, wherever the stream is split', t => {
	const whole = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n';
	for (let cut = 1; cut < whole.length; cut++) {
		const stream = new EventStream();
		const first = textOf(stream.push(Buffer.from(whole.slice(0, cut)))?.bytes) ?? '';
		const second = textOf(stream.push(Buffer.from(whole.slice(cut)))?.bytes) ?? '';
		t.is(first + second, whole);
		t.is(stream.lastEventId, '3');
		t.is(stream.incomplete.byteLength, 0);
	}
});

test('a stream that resumes elsewhere discards the incomplete event and keeps the id of the last complete one', t => {
	const stream = new EventStream('4');
	t.is(stream.lastEventId, '4');
	t.is(textOf(stream.push(Buffer.from('id: 5\ndata: a\n\nid: 6\nda'))?.bytes), 'id: 5\ndata: a\n\n');
	t.is(stream.incomplete.byteLength, 8);
	stream.discardIncomplete();
	t.is(stream.lastEventId, '5');
	t.is(textOf(stream.push(Buffer.from('id: 6\ndata: b\n\n'))?.bytes), 'id: 6\ndata: b\n\n');
});

test('a stream is inside an event unless it stands after an empty line, line ends or whole comments', t => {
	const isInside = (text: string): boolean => {
		const stream = new EventStream();
		stream.push(Buffer.from(text));
		return stream.isInsideEvent;
	};

	for (const text of ['', 'data: a\n\n', 'data: a\r\n\r\n', 'data: a\r\r', 'data: a\n\n\n', 'data: a\n\n: ping\n', 'data: a\n\n: ping\r\n: ping\n\n', ': ping\n']) {
		t.false(isInside(text), `after ${JSON.stringify(text)}`);
	}

	for (const text of ['d', 'data: a\r\n\r', 'data: a', 'data: a\n', 'data: a\r\n', 'data: a\r', 'data: a\n\ni', 'data: a\r\rid: 2\r', ': pi', 'data: a\n\n: ping\ndata: b\n', 'data: a\n: ping\n']) {
		t.true(isInside(text), `after ${JSON.stringify(text)}`);
	}
});

test('events are counted without comments and empty lines', t => {
	const count = (text: string): number | undefined => new EventStream().push(Buffer.from(text))?.events;
	t.is(count('data: a\n\n'), 1);
	t.is(count(': ping\n\n'), 0);
	t.is(count('\n\n\n'), 0);
	t.is(count('id: 1\r\ndata: a\r\n\r\n: ping\r\n\r\ndata: b\r\n\r\n'), 2);
	t.is(count('data: a\n: ping\n\n\ndata: b\n\ndata: c'), 2);
});

/** States the rules of {@linkcode EventStream} by regular expressions over whole texts. */
class PlainEventStream {
	incomplete = '';
	lastEventId: string | undefined;

	push(chunk: string): string {
		const text = this.incomplete + chunk;
		const events = /^.*\n\r?\n/sv.exec(text)?.[0] ?? '';
		const ids = [...events.matchAll(/^id: ?(.*)$/gmv)];
		this.incomplete = text.slice(events.length);
		this.lastEventId = ids.at(-1)?.[1]?.trim() ?? this.lastEventId;
		return events;
	}
}

const pieces = fc.constantFrom('id: 7', 'id:8 ', 'id:', 'id', 'data: a', 'data: id: 9', 'data: \u00E9\u00A0', ': id: 3', '\n', '\n\n', '\r\n', '\r\n\r\n', '\r', ' ');
const chunkLists = fc.array(fc.array(pieces, {maxLength: 6}).map(parts => parts.join('')), {maxLength: 12});

test('whatever the chunks are, the events forwarded and the last id are those that regular expressions find', t => {
	fc.assert(fc.property(chunkLists, chunks => {
		const stream = new EventStream();
		const plain = new PlainEventStream();
		for (const chunk of chunks) {
			const forwarded = stream.push(Buffer.from(chunk, 'latin1'))?.bytes ?? [];
			t.is(Buffer.from(forwarded).toString('latin1'), plain.push(chunk));
			t.is(stream.lastEventId, plain.lastEventId);
			t.is(Buffer.from(stream.incomplete).toString('latin1'), plain.incomplete);
		}
	}), {numRuns: 1000});
});

test('a chunk that ends with an event is forwarded without a copy, and an incomplete event keeps no reference to its chunk', t => {
	const stream = new EventStream();
	const whole = Buffer.from('id: 1\ndata: a\n\n');
	t.is(stream.push(whole)?.bytes, whole);
	const partial = Buffer.from('id: 2\ndata: a\n\nid: 3');
	stream.push(partial);
	partial.fill(0);
	t.is(textOf(stream.incomplete), 'id: 3');
});

test('comments are told from events', t => {
	const hasEvent = (text: string): boolean => {
		const {events} = new EventStream().push(Buffer.from(text))!;
		return events > 0;
	};

	t.false(hasEvent(': ping\n\n'));
	t.false(hasEvent('\r\n: one\r\n: two\r\n\r\n\n'));
	t.true(hasEvent(': ping\n\ndata: a\n\n'));
	t.true(hasEvent('data: a\n\n: ping\n\n'));
	t.true(hasEvent('id\n\n'));
	t.false(hasEvent('\r\r\n\n'));
	t.false(hasEvent('\r: ping\n\n'));
	t.true(hasEvent('\rdata: a\n\n'));
});

test('complete bytes count an event exactly if they have a line that is neither empty nor a comment', t => {
	const characters = ['\n', '\r', ':', 'a'];
	let texts = [''];
	let completed = 0;
	const wrong: string[] = [];
	for (let length = 1; length <= 7; length++) {
		texts = texts.flatMap(text => characters.map(character => text + character));
		for (const text of texts) {
			const part = new EventStream().push(Buffer.from(text));
			const hasEvent = part !== undefined && /(?:^|\n)\r*[^:\r\n]/v.test(Buffer.from(part.bytes).toString('latin1'));
			completed += part === undefined ? 0 : 1;
			if (hasEvent !== (part !== undefined && part.events > 0)) {
				wrong.push(text);
			}
		}
	}

	t.deepEqual(wrong, []);
	t.true(completed > 1000, `${completed}`);
});
