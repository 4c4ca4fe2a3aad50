import {
	cp, mkdir, mkdtemp, rm,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ReplicaSet} from '@valehitch/consensus';
import {openDataFolder} from '@valehitch/storage';
import test, {type ExecutionContext} from 'ava';
import {Right} from 'purify-ts';
import {sendForResponse, sendForStatus} from './platform/fake-backend-server.js';
import {lookConfiguration} from './platform/look-configuration.js';
import {PlatformDeployment, type PlatformInstance} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startAll} from './platform/start-all.js';
import {stopAfterTest} from './platform/stop-after-test.js';
import {waitUntil} from './wait-until.js';

const waitMilliseconds = 60_000;
const maximumSyncMilliseconds = 60;

/** Starts control instances on disks whose unsynced writes a kill loses, and submits version 1. */
async function startControls(t: ExecutionContext, {controlCount, toleratedLosses}: {readonly controlCount: number; readonly toleratedLosses: number}): Promise<PlatformDeployment> {
	const deployment = await PlatformDeployment.prepare({
		controlCount,
		entryCount: 1,
		settings: {faultTolerance: {machines: toleratedLosses, zones: 0, regions: 0}},
		environment: () => ({
			NODE_OPTIONS: `--import ${new URL('platform/unsynced-writes.js', import.meta.url).href}`,
			MAXIMUM_SYNC_MILLISECONDS: String(maximumSyncMilliseconds),
		}),
	});
	t.teardown(async () => {
		await stopAfterTest(t, deployment);
	});
	await startAll(deployment.instances);
	await putConfiguration(deployment, lookConfiguration);
	await waitForVoters(deployment);
	return deployment;
}

/** Sends a configuration to one control instance; resolves to its version if it was acknowledged, otherwise to 0. */
async function put({address}: PlatformInstance, version: number): Promise<number> {
	const status = await sendForStatus({
		method: 'PUT', address, path: '/-/config', body: {...lookConfiguration, version},
	});
	return status === 200 ? version : 0;
}

/** Reads the newest replica set on the disk of a control instance, and the identity of that disk. */
async function readDisk({folder}: PlatformInstance): Promise<{readonly identity: string; readonly replicas: ReplicaSet | undefined}> {
	const copy = await mkdtemp(path.join(tmpdir(), 'valehitch-disk-'));
	try {
		await cp(folder, copy, {recursive: true});
		const opened = await openDataFolder(copy, {lock: async () => Right(async () => undefined)});
		const disk = opened.unsafeCoerce();
		const {identity, entries, snapshot} = disk.takeStoredState();
		await disk.close();
		const sets = entries.flatMap(({payload}) => payload.type === 'replica-set' ? [payload.replicas] : []);
		return {identity, replicas: sets.at(-1) ?? snapshot?.replicas};
	} finally {
		await rm(copy, {recursive: true, force: true});
	}
}

/** Waits until all control instances are voters with the disks that they have now, according to all disks. */
async function waitForVoters({controls}: PlatformDeployment): Promise<void> {
	await waitUntil(async () => {
		const disks = await Promise.all(controls.map(async control => readDisk(control)));
		const voters = new Set(controls.map(({ip}, index) => `${ip}/${disks[index]!.identity}`));
		const isComplete = (replicas: ReplicaSet | undefined): boolean =>
			replicas?.learners.length === 0 && replicas.voters.length === voters.size && replicas.voters.every(voter => voters.has(voter));
		return disks.every(({replicas}) => isComplete(replicas)) || undefined;
	}, {description: 'all control instances to be voters', timeoutMilliseconds: waitMilliseconds});
}

/** Ends all processes at once, empties the folders of some, and starts all again, as after a power loss in which these lost their disks. */
async function losePower({instances}: PlatformDeployment, wiped: readonly PlatformInstance[]): Promise<void> {
	await Promise.all(instances.map(async ({process}) => process.kill('SIGKILL')));
	await Promise.all(wiped.map(async ({folder}) => {
		await rm(folder, {recursive: true, force: true});
		await mkdir(folder);
	}));
	await Promise.all(instances.map(async instance => instance.writeSettings({isFounding: false})));
	await startAll(instances);
}

/** Reads the configuration from each control instance, as soon as it answers. */
async function readVersions({controls}: PlatformDeployment): Promise<readonly number[]> {
	return Promise.all(controls.map(async ({address, name}) => waitUntil(async () => {
		const {status, text} = await sendForResponse({
			method: 'GET', address, path: '/-/config', headers: {}, timeout: 1500,
		});
		return status === 200 ? (JSON.parse(text) as {readonly version: number}).version : undefined;
	}, {description: `a configuration read from ${name}`, timeoutMilliseconds: waitMilliseconds})));
}

type Round = {
	/** Whether the power is lost after the acknowledgement rather than after the change was sent. */
	readonly isAcknowledged: boolean;
	/** Milliseconds until the power is lost. */
	readonly delay: number;
};

type RoundOptions = {
	readonly deployment: PlatformDeployment;
	readonly round: Round;
	readonly index: number;
	/** How many disks are lost. */
	readonly losses: number;
};

const rounds: readonly Round[] = [false, true].flatMap(isAcknowledged => [0, 4, 50, 200, 400].map(delay => ({isAcknowledged, delay})));

/** Sends two changes at once, and loses disks beside the power of all machines; what was acknowledged must be read back. */
async function assertAcknowledgedSurvives(t: ExecutionContext, {deployment, round, index, losses}: RoundOptions): Promise<void> {
	const {controls} = deployment;
	const at = (offset: number): PlatformInstance => controls[(index + offset) % controls.length]!;
	const version = (index + 1) * 10;
	let acknowledged = 0;
	const changes = [put(at(0), version), put(at(1), version + 1)].map(async change => {
		acknowledged = Math.max(acknowledged, await change);
	});
	if (round.isAcknowledged) {
		await waitUntil(async () => {
			acknowledged = Math.max(acknowledged, await put(at(0), version));
			return acknowledged > 0 || undefined;
		}, {description: 'an acknowledgement', intervalMilliseconds: 10});
	}

	await sleep(round.delay);
	const expected = acknowledged;
	t.true(expected > 0 || !round.isAcknowledged);
	// The disk of an instance that acknowledges is among those that are lost.
	await losePower(deployment, Array.from({length: losses}, (_, offset) => at(offset)));
	await Promise.all(changes);
	const versions = await readVersions(deployment);
	t.true(versions.every(read => read >= expected), `read ${versions.join(', ')} after ${expected} was acknowledged; round ${JSON.stringify(round)}`);
	await waitForVoters(deployment);
}

const deployments = [
	{controlCount: 3, toleratedLosses: 1, tried: rounds},
	{controlCount: 5, toleratedLosses: 2, tried: rounds.filter(({isAcknowledged}) => isAcknowledged)},
];

for (const {controlCount, toleratedLosses, tried} of deployments) {
	test.serial(`what ${controlCount} control instances have acknowledged is there after the loss of ${toleratedLosses} of their disks and of all power, again and again`, async t => {
		t.timeout(20 * waitMilliseconds);
		const deployment = await startControls(t, {controlCount, toleratedLosses});
		for (const [index, round] of tried.entries()) {
			await assertAcknowledgedSurvives(t, {
				deployment, round, index, losses: toleratedLosses,
			});
		}
	});
}

test.serial('what was acknowledged is there after a disk that is being replaced is lost again with all power', async t => {
	t.timeout(20 * waitMilliseconds);
	const deployment = await startControls(t, {controlCount: 3, toleratedLosses: 1});
	const [lost, kept] = deployment.controls as [PlatformInstance, PlatformInstance];
	for (const [index, delay] of [0, 100, 250, 500].entries()) {
		const version = (index + 1) * 10;
		await lost.process.kill('SIGKILL');
		await rm(lost.folder, {recursive: true, force: true});
		await startAll([lost]);
		await waitUntil(async () => await put(kept, version) === version || undefined, {description: 'an acknowledged configuration'});
		await sleep(delay);
		await losePower(deployment, [lost]);
		const versions = await readVersions(deployment);
		t.true(versions.every(read => read >= version), `read ${versions.join(', ')} after ${version} was acknowledged`);
	}
});
