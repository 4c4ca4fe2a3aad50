import {z} from 'zod';
import {deploymentKeys, digestOf} from './_settings-file.js';
import {
	type BackendPlan, type DaemonPlan, type Deployment, type RunningDaemon, startDeployment,
} from './deployment.js';
import {callOperator, chatWhole, callService} from './http-client.js';
import {waitUntil} from './wait-until.js';

/** What a daemon says of its part in the distribution. */
export type DistributionStatus = z.infer<typeof distributionStatusSchema>;

/** How a deployment of three zones with a version in roll-out is set. */
export type ZoneTrialOptions = {
	readonly leaseMilliseconds: number;
	readonly serve?: 'settled' | 'all' | 'none';
};

const distributionStatusSchema = z.looseObject({
	revision: z.number(),
	isolated: z.boolean(),
	leader: z.string().optional(),
	inForce: z.object({complete: z.boolean(), waitingFor: z.array(z.string())}),
	servers: z.array(z.looseObject({server: z.string(), state: z.string()})),
});

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

/** A document with a settled version, and one in the middle of a roll-out or withdrawn. */
export function trialConfiguration(fresh: 'rolling-out' | 'withdrawn'): unknown {
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

/** Starts 7 daemons in 3 zones and waits until all hold a lease. */
export async function startZoneTrial({leaseMilliseconds, serve = 'settled'}: ZoneTrialOptions): Promise<Deployment> {
	const deployment = await startDeployment({
		daemons: trialDaemons,
		backends: trialBackends,
		configuration: trialConfiguration('rolling-out'),
		startMilliseconds: 60_000,
		settings: {
			faults: true,
			isolation: {serve},
			timing: {announcementRenewMilliseconds: 1000, configurationLeaseMilliseconds: leaseMilliseconds, shutdownMilliseconds: 10_000},
		},
	});
	await Promise.all(deployment.daemons.map(async daemon => waitUntilLeased(daemon)));
	return deployment;
}

export async function distributionStatus(daemon: RunningDaemon): Promise<DistributionStatus> {
	const {body} = await callOperator(`${daemon.operators}/v1/status`, {key: deploymentKeys.operators});
	return distributionStatusSchema.parse(body);
}

export async function waitUntilLeased(daemon: RunningDaemon): Promise<void> {
	await waitUntil(async () => {
		const {isolated} = await distributionStatus(daemon);
		return isolated ? undefined : true;
	}, {what: `${daemon.instance} to hold a lease`, timeoutMilliseconds: 60_000});
}

/** Cuts the links between the zone and all others, or mends all links where none is named. */
export async function cutZone(deployment: Deployment, zone?: string): Promise<void> {
	await Promise.all(deployment.daemons.map(async daemon => {
		const cut = deployment.daemons
			.filter(other => zone !== undefined && (other.zone === zone) !== (daemon.zone === zone))
			.map(({instance}) => instance);
		const {status} = await callOperator(`${daemon.operators}/v1/faults/links`, {
			key: deploymentKeys.operators, method: 'POST', document: {cut},
		});
		if (status !== 200) {
			throw new Error(`Got ${status} from ${daemon.instance}, wanted 200`);
		}
	}));
}

/** Asks for the settled version, the one in roll-out, or the plain service; gives the status. */
export async function askFor(daemon: RunningDaemon, what: 'steady' | 'fresh' | 'labels'): Promise<number> {
	if (what === 'labels') {
		const {status} = await callService(daemon.callers, {
			key, service: 'labels', path: '/print', body: '{}',
		});
		return status;
	}

	const {status} = await chatWhole(daemon.callers, {key, model: what, messages: [{role: 'user', content: 'Which heat?'}]});
	return status;
}

export function findDaemon(deployment: Deployment, instance: string): RunningDaemon {
	const daemon = deployment.daemons.find(candidate => candidate.instance === instance);
	if (daemon === undefined) {
		throw new Error(`Got no daemon ${instance}`);
	}

	return daemon;
}
