import test from 'ava';
import {type OverdueFacts, type OverdueWatchOptions, watchOverdue} from './overdue-watch.js';

const clock = {monotonic: () => performance.now()};

type WatchedTestSend = {
	readonly isReused?: boolean;
	readonly isSent?: () => boolean;
	/** Whether a second server is asked. */
	readonly until: (facts: OverdueFacts) => boolean;
};

/** Watches a send until a second server is asked, which is as soon as the facts allow it; returns what was known at each look. */
async function watch(options: Partial<OverdueWatchOptions>, {isReused = false, isSent = () => true, until}: WatchedTestSend) {
	const facts: OverdueFacts[] = [];
	await new Promise(resolve => {
		watchOverdue({
			firstCheckAfter: 1,
			checkAfter: 20,
			hasSentData: () => false,
			isReachable: async () => false,
			decide(known) {
				facts.push(known);
				return until(known) ? {type: 'send-beside', reason: 'late'} : {type: 'wait', reason: 'not-late'};
			},
			...options,
		}, {
			clock, isReused: () => isReused, isSent, onOverdue: resolve,
		});
	});
	return facts;
}

const isChecked = ({isResponsive}: OverdueFacts): boolean => isResponsive !== undefined;

test('a server that sends data on other connections, or accepts new ones, is responsive', async t => {
	const responsive = async (options: Partial<OverdueWatchOptions>) => {
		const facts = await watch(options, {until: isChecked});
		return facts.at(-1)?.isResponsive;
	};

	t.deepEqual(await Promise.all([
		responsive({hasSentData: () => true}), responsive({isReachable: async () => true}), responsive({}),
	]), [true, true, false]);
});

test('a server is not called unresponsive before the time of the check', async t => {
	const facts = await watch({checkAfter: 60_000}, {until: ({waited}) => waited > 50});
	t.true(facts.length > 0 && facts.every(({isResponsive}) => isResponsive === undefined));
});

test('it is known whether a send uses a kept connection', async t => {
	const [first] = await watch({}, {isReused: true, until: () => true});
	t.true(first?.isReused);
});

test('a request that has not been written is not looked at', async t => {
	let looks = 0;
	const facts = await watch({}, {
		isSent() {
			looks++;
			return looks > 4;
		},
		until: () => true,
	});
	t.is(facts.length, 1);
	t.true(looks > 4);
});

test('a watch that was ended asks for no server', async t => {
	let isAsked = false;
	const stop = watchOverdue({
		firstCheckAfter: 1, checkAfter: 1, hasSentData: () => false, isReachable: async () => false, decide: () => ({type: 'send-beside', reason: 'late'}),
	}, {
		clock,
		isReused: () => false,
		isSent: () => true,
		onOverdue() {
			isAsked = true;
		},
	});
	stop();
	await new Promise(resolve => {
		setTimeout(resolve, 20);
	});
	t.false(isAsked);
});
