import {type ServerId, toId, type ZoneId} from '@valehitch/core';
import {chooseServer, type ServerChoiceOptions, type ServerView} from '@valehitch/routing';
import {firstEventAt} from './_speed-trial-pool.js';
import {type TrialChoice, type TrialRule} from './_speed-trial.js';

const zone = toId<ZoneId>('a');
const target = 'drafts';
const view: ServerView = {
	id: toId<ServerId>('server'), zone, capacity: 32, reportedInFlight: 0, ownInFlightAtReport: 0, reportAge: 0, ownInFlight: 0,
	draining: false, expired: false, ejected: false, uptime: 60_000, loaded: new Set([target]),
};
/** The work of one unit of load, in milliseconds. */
const unitMilliseconds = 100;
/** The entry instances whose loads the rule by slots knows, without delay. */
const peers = 6;

function choose(views: readonly ServerView[], options: Pick<ServerChoiceOptions, 'random' | 'sampleCount' | 'requestLoad' | 'reportDecayMilliseconds'>): number {
	const id = chooseServer(views, {
		target, excluded: new Set(), zone, ...options,
	}).map(({server}) => server).toMaybe().extract();
	return views.findIndex(server => server.id === id);
}

/** The choice by slots: the best of four at random by the loads of this instance and of six others. */
export const bySlots: TrialRule = ({servers, instance, workOf, random}) => choose(servers.map((_, index) => {
	let others = 0;
	for (let peer = 1; peer <= peers; peer++) {
		others += workOf(instance + peer, index);
	}

	return {
		...view, id: toId<ServerId>(`${index}`), reportedInFlight: others / unitMilliseconds, ownInFlight: workOf(instance, index) / unitMilliseconds,
	};
}), {random, sampleCount: 4});

/** The views of an instance that knows the picture of all instances and the speeds. */
function viewsBySpeed({servers, instance, workOf, othersAt, age, speedAt}: TrialChoice): readonly ServerView[] {
	return servers.map((_, index) => ({
		...view,
		...speedAt(index),
		id: toId<ServerId>(`${index}`),
		reportedInFlight: othersAt(index) / unitMilliseconds,
		ownInFlight: workOf(instance, index) / unitMilliseconds,
		reportAge: age,
	}));
}

/** The least loaded of two at random, by load over speed; the picture counts whatever its age. */
export const bySpeedOfTwo: TrialRule = choice => choose(viewsBySpeed({...choice, age: 0}), {random: choice.random, sampleCount: 2});

/** The earliest expected first event of three at random; the older the picture, the less it counts. */
export const byExpectedTime: TrialRule = choice => choose(viewsBySpeed(choice), {
	random: choice.random, sampleCount: 3, requestLoad: choice.work / unitMilliseconds, reportDecayMilliseconds: 1000,
});

/** Chance alone. */
export const atRandom: TrialRule = ({servers, random}) => Math.floor(random() * servers.length);

/** The earliest first event of all servers, with nothing unknown: neither work, nor speeds, nor moments of slowness to come. */
export const allKnowing: TrialRule = ({servers, now, work}) => {
	let best = 0;
	let bestAt = Infinity;
	for (const [index, server] of servers.entries()) {
		const at = firstEventAt(server, {work, now});
		if (at < bestAt) {
			best = index;
			bestAt = at;
		}
	}

	return best;
};
