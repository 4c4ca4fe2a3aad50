import {setTimeout as delay} from 'node:timers/promises';
import {type InstanceId, type ZoneId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {Packr} from 'msgpackr';
import {Right} from 'purify-ts';
import {testConfiguration} from '../configuration/_test-configuration.js';
import {startTestControlServices} from '../control/_test-control-node.js';
import {type EntryUpdate} from '../control/entry-watches.js';
import {type ConfigurationDocument} from '../control/gateway-state.js';
import {type WatchMessage, type WatchReply} from '../control/peer-message.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {ControlWatch} from './control-watch.js';
import {KnownConfiguration} from './known-configuration.js';

/** The bits that a link to an entry instance carries in a millisecond: 7 Mbit/s. */
const bitsPerMillisecond = 7000;
const bitsPerByte = 8;
const changes = 21;
const changeMilliseconds = 143;
/** The time within which a change must be in force, in milliseconds. */
const applyMilliseconds = 2000;
const clock = {now: () => new Date(0), monotonic: () => performance.now()};
const hosts = [1, 2, 3].map(index => `10.0.0.${index}` as InstanceId);
const entries = [1, 2, 3, 4].map(index => `10.0.1.${index}` as InstanceId);
const packr = new Packr({useRecords: false});

function ignore(): void {
	// Nothing is asserted of it.
}

/** A configuration each of whose versions removes a route, adds one and changes another. */
function documentOf(version: number, routes: number): ConfigurationDocument {
	const list = Array.from({length: routes}, (_, index) => ({
		name: `r-${index + version}`, host: 'desk.example', pathPrefix: `/p${index + version}/`, kind: 'safe', timeoutMs: 5000 + (index === 7 ? version : 0), targetLatencyMs: 300, maxAttempts: 2,
	}));
	return {version, document: JSON.stringify({version, routes: list})};
}

/** Starts an entry instance that polls three control instances over one link, which carries the replies one after the other. */
function startEntry(t: ExecutionContext, answer: (host: InstanceId, message: WatchMessage) => Promise<WatchReply>) {
	const adoptedAt = new Map<number, number>();
	const state = {lost: 0, bytes: 0, linkFreeAt: 0};
	const configuration = new KnownConfiguration({
		clock,
		log: ignore,
		parse: document => Right(testConfiguration({version: (JSON.parse(document) as {version: number}).version})),
		onAdopted({version}) {
			adoptedAt.set(version, clock.monotonic());
		},
		onConfirmed: ignore,
		wait: async milliseconds => delay(milliseconds),
	});
	const watch = new ControlWatch({
		clock,
		suspension: {lastWake: () => Number.NEGATIVE_INFINITY},
		log: ignore,
		metrics: createGatewayMetrics(),
		seeds: () => hosts,
		watchFields: () => ({
			zone: 'hall-a' as ZoneId, configurationVersion: configuration.version, rolloutDigest: '', evacuationRevision: 0, evidence: [],
		}),
		async ask(host, message, timeout) {
			const sentAt = clock.monotonic();
			const reply = await answer(host, message);
			const {byteLength} = packr.pack(reply);
			state.bytes += byteLength;
			state.linkFreeAt = Math.max(clock.monotonic(), state.linkFreeAt) + (byteLength * bitsPerByte / bitsPerMillisecond);
			const isLost = state.linkFreeAt - sentAt > timeout;
			state.lost += isLost ? 1 : 0;
			await delay(Math.min(state.linkFreeAt, sentAt + timeout) - clock.monotonic());
			return isLost ? undefined : reply;
		},
		onUpdate({reply, source}) {
			configuration.update(reply, {source, confirmedAt: undefined});
		},
		onLost: ignore,
		wait: async milliseconds => delay(milliseconds),
	});
	watch.start();
	t.teardown(() => {
		watch.stop();
	});
	return {state, adoptedAt};
}

for (const routes of [50, 1500, 5000]) {
	test.serial(`a burst of changes of ${routes} routes reaches all instances in time over a narrow link, and no poll is lost`, async t => {
		const update: {configuration: EntryUpdate['configuration']} = {configuration: documentOf(1, routes)};
		const controls = new Map(hosts.map(host => [host, startTestControlServices({
			run: host, update, clock, others: () => hosts.filter(other => other !== host), ask: async () => undefined, saved: {read: async () => [], write: async () => true},
		})]));
		const started = entries.map(self => startEntry(t, async (host, message) => controls.get(host)!.watches.answer(self, message)));
		await delay(applyMilliseconds);
		for (const {state} of started) {
			state.bytes = 0;
		}

		const changedAt = new Map<number, number>();
		for (let version = 2; version < 2 + changes; version++) {
			update.configuration = documentOf(version, routes);
			changedAt.set(version, clock.monotonic());
			for (const {watches} of controls.values()) {
				watches.answerPending();
			}

			await delay(changeMilliseconds);
		}

		await delay(applyMilliseconds);
		const delays = started.flatMap(({adoptedAt}) => [...changedAt].map(([version, at]) => {
			const applied = [...adoptedAt].filter(([adopted]) => adopted >= version).map(([, time]) => time);
			return Math.min(...applied) - at;
		}));
		const bytes = Math.max(...started.map(({state}) => state.bytes));
		t.log(`the slowest of ${delays.length} after ${Math.round(Math.max(...delays))} ms, ${Math.round(bytes / changes)} bytes a change on a link`);
		t.is(started.reduce((sum, {state}) => sum + state.lost, 0), 0);
		t.true(Math.max(...delays) < applyMilliseconds);
	});
}
