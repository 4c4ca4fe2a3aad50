import {type ModelId} from '@valehitch/core';
import {AnswerTimes} from '@valehitch/routing';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testRequest} from './_test-request.js';
import {AnswerOutlook, type AnswerOutlookOptions} from './answer-outlook.js';

const model = 'small' as ModelId;

/** Requests of one route at one instance, whose times are set by the test. */
function createOutlooks() {
	let now = 0;
	const context = {
		clock: {now: () => new Date(), monotonic: () => now},
		wholeTimes: new AnswerTimes(),
	};
	const open = (changes: Partial<AnswerOutlookOptions['request']> = {}, limit = 60_000): AnswerOutlook => new AnswerOutlook(context, {
		request: testRequest({
			choosesModel: true, inputTokens: 1000, outputTokens: 200, ...changes,
		}),
		route: testRoute({sizes: [model, 'large' as ModelId]}),
		deadlineAt: now + limit,
	});
	return {
		open,
		/** Plays requests whose answers take a number of milliseconds. */
		play(count: number, milliseconds: number, finish: (outlook: AnswerOutlook) => void) {
			for (let index = 0; index < count; index++) {
				const outlook = open();
				outlook.begin({model, sentAt: now, lastEventId: undefined});
				now += milliseconds;
				finish(outlook);
				now -= milliseconds;
			}

			now += milliseconds;
		},
	};
}

function endWhole(outlook: AnswerOutlook): void {
	outlook.end({isWhole: true});
}

test('a request whose answer cannot end in the time left is told from one whose can', t => {
	const {open, play} = createOutlooks();
	play(20, 1000, endWhole);
	t.false(open({}, 800).mayEnd(model, 'nothing'));
	t.true(open({}, 1000).mayEnd(model, 'nothing'));
});

test('an ordinary answer goes on after its first event for the rest of its time, and for no time while that is not known', t => {
	const {open, play} = createOutlooks();
	t.is(open().timeAfter(model, 300), 0);
	play(20, 1000, endWhole);
	const after = open().timeAfter(model, 300);
	t.true(after >= 700 && after <= 801, `${after}`);
	t.is(open().timeAfter(model, 5000), 0);
});

test('answers of other models and of other lengths say nothing of a request', t => {
	const {open, play} = createOutlooks();
	play(20, 1000, endWhole);
	t.true(open({}, 800).mayEnd('large' as ModelId, 'nothing'));
	t.true(open({outputTokens: 20}, 800).mayEnd(model, 'nothing'));
	t.true(open({expectedTokens: 20}, 800).mayEnd(model, 'nothing'));
	t.true(open({inputTokens: 100}, 800).mayEnd(model, 'nothing'));
	t.false(open({expectedTokens: 5000}, 800).mayEnd(model, 'nothing'));
});

test('a part of an answer is neither recorded nor judged, and neither is one of a model that the caller chose', t => {
	const {open, play} = createOutlooks();
	play(20, 1000, outlook => {
		outlook.begin({model, sentAt: 0, lastEventId: '3'});
		outlook.end({isWhole: true});
	});
	t.true(open({}, 1).mayEnd(model, 'nothing'));
	play(20, 1000, endWhole);
	t.false(open({}, 1).mayEnd(model, 'nothing'));
	t.true(open({lastEventId: '3'}, 1).mayEnd(model, 'nothing'));
	t.true(open({choosesModel: false}, 1).mayEnd(undefined, 'nothing'));
});

test('answers that fail say nothing, and those that are cut at their time limit took longer', t => {
	const {open, play} = createOutlooks();
	play(20, 2000, endWhole);
	play(100, 100, outlook => {
		outlook.end({isWhole: false});
		outlook.cut();
	});
	t.false(open({}, 1500).mayEnd(model, 'nothing'));
	play(4, 1000, endWhole);
	t.true(open({}, 1500).mayEnd(model, 'nothing'));
	play(60, 1600, outlook => {
		outlook.cut();
	});
	t.false(open({}, 1500).mayEnd(model, 'nothing'));
});
