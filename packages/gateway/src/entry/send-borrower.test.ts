import {type InstanceId, type ServerId, type ServiceId} from '@valehitch/core';
import test from 'ava';
import {type BorrowMessage, type BorrowReply} from '../control/peer-message.js';
import {SendBorrower} from './send-borrower.js';

const service = 'models' as ServiceId;
const server = 'server-1' as ServerId;
const other = 'server-2' as ServerId;

type BorrowerOptions = {
	readonly reply: (message: BorrowMessage) => BorrowReply | undefined;
	readonly lend?: (server: ServerId, count: number) => number;
};

/** Creates the borrower of an instance with two peers and a clock that can be set. */
function createBorrower({reply, lend = () => 0}: BorrowerOptions) {
	let now = 0;
	const asked: BorrowMessage[] = [];
	const borrowed: Array<readonly [ServerId, number]> = [];
	const borrower = new SendBorrower({
		clock: {monotonic: () => now},
		random: () => 0,
		rates: {
			lend,
			addBorrowed(lentServer, count) {
				borrowed.push([lentServer, count]);
			},
		},
		peers: () => ['10.0.0.2', '10.0.0.3'] as InstanceId[],
		exhaustedServers: () => [server, other],
		async ask(_to, message) {
			asked.push(message);
			return reply(message);
		},
		onBorrowed() {
			// The number is taken from `borrowed`.
		},
	});
	return {
		borrower, asked, borrowed, setTime(to: number): void {
			now = to;
		},
	};
}

test('requests that wait at the same time are borrowed for together, and later ones in the next round', async t => {
	const {borrower, asked, borrowed} = createBorrower({reply: ({count}) => ({sends: [[server, count]]})});
	const first = borrower.borrow(service);
	const second = borrower.borrow(service);
	await Promise.resolve();
	await Promise.resolve();
	const third = borrower.borrow(service);
	t.deepEqual(await Promise.all([first, second, third]), [true, true, true]);
	t.deepEqual(asked.map(({count}) => count), [2, 1]);
	t.deepEqual(borrowed, [[server, 2], [server, 1]]);
});

test('another instance is asked for what the first one does not lend or answer', async t => {
	const replies: Array<BorrowReply | undefined> = [undefined, {sends: [[other, 1]]}];
	const {borrower, asked, borrowed} = createBorrower({reply: () => replies.shift()});
	t.true(await borrower.borrow(service));
	t.is(asked.length, 2);
	t.deepEqual(borrowed, [[other, 1]]);
});

test('no instance is asked for some time after none had a send to lend', async t => {
	const {borrower, asked, setTime} = createBorrower({reply: () => ({sends: []})});
	t.false(await borrower.borrow(service));
	t.false(await borrower.borrow(service));
	t.is(asked.length, 2);
	setTime(300);
	t.false(await borrower.borrow(service));
	t.is(asked.length, 4);
});

test('an instance lends no more sends in total than it is asked for', t => {
	const {borrower} = createBorrower({reply: () => undefined, lend: (_server, count) => Math.min(2, count)});
	t.deepEqual(borrower.lend({type: 'borrow-sends', servers: [server, other], count: 3}), {sends: [[server, 2], [other, 1]]});
	t.deepEqual(borrower.lend({type: 'borrow-sends', servers: [server], count: 0}), {sends: []});
});
