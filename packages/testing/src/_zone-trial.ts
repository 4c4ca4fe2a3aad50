import * as z from 'zod';
import {deploymentKeys, digestOf} from './_settings-file.js';
import {
	type BackendPlan, type DaemonPlan, type Deployment, type RunningDaemon, startDeployment,
} from './deployment.js';
import {
	callOperator, callService, requestChatStream, requestChat,
} from './http-client.js';
import {waitUntil} from './wait-until.js';

/** A daemon's distribution status, with the members that trials read. */
export type DistributionStatus = z.infer<typeof distributionStatusSchema>;

/** Options for `startZoneTrial`. */
export type ZoneTrialOptions = {
	readonly leaseMilliseconds: number;
	readonly serve?: 'settled' | 'all' | 'none';
};

const distributionStatusSchema = z.looseObject({
	revision: z.number(),
	isolated: z.boolean(),
	members: z.number(),
	leader: z.string().optional(),
	inForce: z.object({complete: z.boolean(), waitingFor: z.array(z.string())}),
	servers: z.array(z.looseObject({server: z.string(), state: z.string()})),
});

const requestTimeoutMilliseconds = 4000;
const question = [{role: 'user' as const, content: 'Which heat?'}];
const key = 'trial-key';
const workspace = 'trial';

export const trialDaemons: readonly DaemonPlan[] = [
	{instance: 'control-a', zone: 'zone-a', roles: ['control', 'entry']},
	{instance: 'control-b', zone: 'zone-b', roles: ['control', 'entry']},
	{instance: 'control-c', zone: 'zone-c', roles: ['control', 'entry']},
	{instance: 'entry-a', zone: 'zone-a', roles: ['entry']},
	{instance: 'entry-b', zone: 'zone-b', roles: ['entry']},
	{instance: 'entry-c', zone: 'zone-c', roles: ['entry']},
	{instance: 'entry-d', zone: 'zone-a', roles: ['entry']},
];

const trialBackends: readonly BackendPlan[] = [
	{server: 'engine-a', zone: 'zone-a', models: ['steady@1.0', 'fresh@2.0']},
	{server: 'engine-b', zone: 'zone-b', models: ['steady@1.0', 'fresh@2.0']},
	{server: 'engine-c', zone: 'zone-c', models: ['steady@1.0', 'fresh@2.0']},
	{server: 'labels-c', zone: 'zone-c', service: 'labels'},
];

/** Returns a configuration with a version that stays settled and one whose state changes during the trial. */
export function trialConfiguration(fresh: 'settled' | 'rolling-out' | 'withdrawn'): unknown {
	const prices = {input: 1, output: 1};
	return {
		models: {
			steady: {versions: {'1.0': {state: 'settled', quality: 0.9, prices}}},
			fresh: {
				versions: {
					'1.0': {state: 'withdrawn', quality: 0.9, prices},
					'2.0': {
						state: fresh, quality: 0.9, prices, replaces: '1.0', stages: [{share: 1, minimumRatings: 1_000_000, minimumSeconds: 86_400}],
					},
				},
			},
		},
		services: {labels: {repeatable: [], pricePerCall: 0}},
		workspaces: {
			[workspace]: {
				keyDigests: [digestOf(key)],
				allowed: {steady: ['1.0'], fresh: ['2.0']},
				services: ['labels'],
				policy: [{name: 'all', models: ['steady', 'fresh'], qualityTarget: 0.5}],
			},
		},
	};
}

/** A running deployment with a session on the version whose state changes. */
export type ZoneTrial = {
	readonly deployment: Deployment;
	/** The token of a session on the version that is being rolled out. */
	readonly session: string;
	/** The revision of the configuration that started the rollout. */
	readonly revision: number;
};

/** Starts 7 daemons in 3 zones, waits until all hold a lease, starts a session, and starts a rollout of its version. */
export async function startZoneTrial({leaseMilliseconds, serve = 'settled'}: ZoneTrialOptions): Promise<ZoneTrial> {
	const deployment = await startDeployment({
		daemons: trialDaemons,
		backends: trialBackends,
		configuration: trialConfiguration('settled'),
		startTimeoutMilliseconds: 60_000,
		settings: {
			faults: true,
			isolation: {serve},
			timing: {announcementRenewMilliseconds: 1000, configurationLeaseMilliseconds: leaseMilliseconds, shutdownMilliseconds: 10_000},
		},
	});
	await Promise.all(deployment.daemons.map(async daemon => waitUntilLeased(daemon)));
	const session = await beginSession(findDaemon(deployment, 'entry-a'));
	const revision = await deployment.apply(trialConfiguration('rolling-out'), {replaces: 1});
	await Promise.all(deployment.daemons.map(async daemon => deployment.waitUntilReady(daemon, {revision, servers: []})));
	return {deployment, session, revision};
}

async function beginSession(daemon: RunningDaemon): Promise<string> {
	return waitUntil(async () => {
		const {headers} = await requestChat(daemon.callers, {
			key, model: 'fresh', messages: question, headers: {'Valehitch-Session': 'new'},
		});
		const token = headers['valehitch-session'];
		return typeof token === 'string' ? token : undefined;
	}, {description: 'a session', timeoutMilliseconds: 60_000});
}

export async function distributionStatus(daemon: RunningDaemon): Promise<DistributionStatus> {
	const {body} = await callOperator(`${daemon.operators}/v1/status`, {key: deploymentKeys.operators});
	return distributionStatusSchema.parse(body);
}

export async function waitUntilLeased(daemon: RunningDaemon): Promise<void> {
	await waitUntil(async () => {
		const {isolated} = await distributionStatus(daemon);
		return isolated ? undefined : true;
	}, {description: `${daemon.instance} to hold a lease`, timeoutMilliseconds: 60_000});
}

/** Cuts the links between a zone and all others, or restores all links if no zone is given. */
export async function partitionZone(deployment: Deployment, zone?: string): Promise<void> {
	await Promise.all(deployment.daemons.map(async daemon => {
		const cut = deployment.daemons
			.filter(other => zone !== undefined && (other.zone === zone) !== (daemon.zone === zone))
			.map(({instance}) => instance);
		const {status} = await callOperator(`${daemon.operators}/v1/faults/links`, {
			key: deploymentKeys.operators, method: 'POST', document: {cut},
		});
		if (status !== 200) {
			throw new Error(`Expected status 200 from ${daemon.instance}, got ${status}`);
		}
	}));
}

/** The result of a request, as observed by the caller within a few seconds. */
export type RequestResult = 'served' | 'refused';

/**
Sends a request for the settled version or, with a session, for the version whose state changes.

A started stream counts as served, since an isolated zone may not be able to reach the ledger before the stream ends.
*/
export async function sendChatRequest(daemon: RunningDaemon, session?: string): Promise<RequestResult> {
	const {text, status, connectionError} = await requestChatStream(daemon.callers, {
		key,
		model: session === undefined ? 'steady' : 'fresh',
		messages: question,
		timeoutMilliseconds: requestTimeoutMilliseconds,
		...(session !== undefined && {headers: {'Valehitch-Session': session}}),
	});
	if (status >= 400) {
		return 'refused';
	}

	if (text === '') {
		throw new Error(`Received neither a response nor a refusal: ${connectionError ?? 'the stream was empty'}`);
	}

	return 'served';
}

/** Calls the plain service and returns whether the instance served or refused the call. */
export async function callLabelsService(daemon: RunningDaemon): Promise<RequestResult> {
	const {status} = await callService(daemon.callers, {
		key, service: 'labels', path: '/print', body: '{}', timeoutMilliseconds: requestTimeoutMilliseconds,
	});
	return status >= 400 ? 'refused' : 'served';
}

export function findDaemon(deployment: Deployment, instance: string): RunningDaemon {
	const daemon = deployment.daemons.find(candidate => candidate.instance === instance);
	if (daemon === undefined) {
		throw new Error(`No daemon named ${instance} in the deployment`);
	}

	return daemon;
}
