import {type IsolationMode} from '@valehitch/settings';
import {
	sendChatRequest, callLabelsService, partitionZone, distributionStatus, findDaemon, type RequestResult, startZoneTrial, trialConfiguration,
} from './_zone-trial.js';
import {type RunningDaemon} from './deployment.js';
import {waitUntil} from './wait-until.js';

/** Numbers of requests that an isolated instance served and refused, by what they asked for. */
export type IsolationCounts = {
	readonly serve: IsolationMode;
	/** Whether the requests were sent before the change was in force, or after. */
	readonly phase: 'before in force' | 'in force';
	readonly settled: Counts;
	/** Requests for a version that was withdrawn in the other zones. */
	readonly withdrawn: Counts;
	readonly plainService: Counts;
};

type Counts = Readonly<Record<RequestResult, number>>;

const rounds = 5;
const requestsPerRound = 10;

/** Isolates a zone, withdraws a version in the others, and counts what an entry instance in the isolated zone serves. */
export async function measureIsolation(serve: IsolationMode): Promise<readonly IsolationCounts[]> {
	const {deployment, session, revision: before} = await startZoneTrial({leaseMilliseconds: 6000, serve});
	try {
		const leader = findDaemon(deployment, 'control-a');
		const isolatedDaemon = findDaemon(deployment, 'entry-c');
		await partitionZone(deployment, 'zone-c');
		const revision = await deployment.apply(trialConfiguration('withdrawn'), {replaces: before, by: leader});
		const early = await countRound(isolatedDaemon, session);
		await waitUntil(async () => {
			const status = await distributionStatus(leader);
			return status.inForce.complete && status.revision >= revision ? true : undefined;
		}, {description: 'the change to be in force', timeoutMilliseconds: 60_000});
		const late = await countRounds(isolatedDaemon, session);
		return [{serve, phase: 'before in force', ...early}, {serve, phase: 'in force', ...late}];
	} finally {
		await partitionZone(deployment);
		await deployment.stop();
	}
}

type RoundCounts = Pick<IsolationCounts, 'settled' | 'withdrawn' | 'plainService'>;

async function countRounds(daemon: RunningDaemon, session: string): Promise<RoundCounts> {
	let all = await countRound(daemon, session);
	for (let round = 1; round < rounds; round++) {
		const next = await countRound(daemon, session);
		all = {
			settled: add(all.settled, next.settled),
			withdrawn: add(all.withdrawn, next.withdrawn),
			plainService: add(all.plainService, next.plainService),
		};
	}

	return all;
}

async function countRound(daemon: RunningDaemon, session: string): Promise<RoundCounts> {
	const [settled, withdrawn, plainService] = await Promise.all([
		count(async () => sendChatRequest(daemon)),
		count(async () => sendChatRequest(daemon, session)),
		count(async () => callLabelsService(daemon)),
	]);
	return {settled, withdrawn, plainService};
}

async function count(ask: () => Promise<RequestResult>): Promise<Counts> {
	const seen = await Promise.all(Array.from({length: requestsPerRound}, async () => ask()));
	const served = seen.filter(one => one === 'served').length;
	return {served, refused: seen.length - served};
}

function add(left: Counts, right: Counts): Counts {
	return {served: left.served + right.served, refused: left.refused + right.refused};
}
