import test from 'ava';
import {ListSaver} from './list-saver.js';

/** Creates a saver whose writes are completed by the test. */
function startSaver() {
	const list = {cursor: 0, items: [] as readonly string[]};
	const writes: Array<{readonly items: readonly string[]; readonly end: (isWritten: boolean) => void}> = [];
	const saver = new ListSaver<string>({
		current: () => list,
		saved: {
			write: async items => new Promise(resolve => {
				writes.push({items, end: resolve});
			}),
		},
	});
	const change = (...items: readonly string[]): void => {
		list.items = items;
		list.cursor++;
	};

	return {saver, writes, change};
}

async function runPendingTasks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

test('changes during a save are saved immediately after it, in one write', async t => {
	const {saver, writes, change} = startSaver();
	change('a');
	const first = saver.save();
	change('a', 'b');
	void saver.save();
	change('a', 'b', 'c');
	let isSaved = false;
	const last = saver.save().then(() => {
		isSaved = true;
	});
	t.is(writes.length, 1);
	writes[0]!.end(true);
	await runPendingTasks();
	t.false(isSaved);
	writes[1]!.end(true);
	await Promise.all([first, last]);
	t.deepEqual(writes.map(({items}) => items.length), [1, 3]);
});

test('an unchanged list is not saved, and a failed save is retried by the next call', async t => {
	const {saver, writes, change} = startSaver();
	await saver.save();
	change('a');
	void saver.save();
	writes[0]!.end(false);
	await runPendingTasks();
	t.is(writes.length, 1);
	void saver.save();
	writes[1]!.end(true);
	await runPendingTasks();
	await saver.save();
	t.is(writes.length, 2);
});
