import {readFile} from 'node:fs/promises';
import test, {type ExecutionContext} from 'ava';
import {
	sendChatRequest, callLabelsService, partitionZone, distributionStatus, findDaemon, startZoneTrial, trialConfiguration, waitUntilLeased, type ZoneTrial, type ZoneTrialOptions,
} from './_zone-trial.js';
import {type RunningDaemon} from './deployment.js';
import {waitUntil} from './wait-until.js';

const waitOptions = {timeoutMilliseconds: 60_000};

async function startTrial(t: ExecutionContext, options: ZoneTrialOptions): Promise<ZoneTrial> {
	t.timeout(240_000);
	const trial = await startZoneTrial(options);
	const {deployment} = trial;
	t.teardown(async () => {
		for (const {process} of deployment.daemons) {
			process.signal('SIGCONT');
		}

		await deployment.stop();
	});
	return trial;
}

async function waitUntilInForce(daemon: RunningDaemon, revision: number): Promise<void> {
	await waitUntil(async () => {
		const {inForce, revision: current} = await distributionStatus(daemon);
		return inForce.complete && current >= revision ? true : undefined;
	}, {description: `revision ${revision} in force everywhere`, ...waitOptions});
}

test.serial('a change takes effect on all 7 daemons, and all learn of a server shutdown', async t => {
	const {deployment, session, revision: before} = await startTrial(t, {leaseMilliseconds: 5000});
	const leader = findDaemon(deployment, 'control-a');
	const revision = await deployment.apply(trialConfiguration('withdrawn'), {replaces: before, by: findDaemon(deployment, 'entry-c')});
	await waitUntilInForce(leader, revision);
	for (const daemon of deployment.daemons) {
		const {revision: current} = await distributionStatus(daemon);
		t.is(current, revision, `${daemon.instance} has an older revision although the change is in force`);
		t.is(await sendChatRequest(daemon, session), 'refused');
		t.is(await sendChatRequest(daemon), 'served');
	}

	const engine = deployment.backends.find(({server}) => server === 'engine-b');
	await engine?.process.stop();
	for (const daemon of deployment.daemons) {
		await waitUntil(async () => {
			const log = await readFile(daemon.process.logFile, 'utf8');
			return log.split('\n').some(line => line.includes('server-draining') && line.includes('engine-b')) || undefined;
		}, {description: `${daemon.instance} to learn that engine-b shuts down`, ...waitOptions});
		const {servers} = await distributionStatus(daemon);
		t.false(servers.some(({server, state}) => server === 'engine-b' && state === 'joined'));
	}
});

test.serial('a stopping instance leaves the membership, and rejoins after a restart without a change of settings', async t => {
	const {deployment} = await startTrial(t, {leaseMilliseconds: 5000});
	const stopped = findDaemon(deployment, 'entry-d');
	const others = deployment.daemons.filter(daemon => daemon !== stopped);
	const waitForMembers = async (daemons: readonly RunningDaemon[], expected: number): Promise<void> => {
		await Promise.all(daemons.map(async daemon => waitUntil(async () => {
			const {members} = await distributionStatus(daemon);
			return members === expected || undefined;
		}, {description: `${daemon.instance} to report ${expected} members`, ...waitOptions})));
	};

	await waitForMembers(deployment.daemons, deployment.daemons.length);
	await stopped.process.stop();
	await waitForMembers(others, others.length);
	stopped.process.start();
	await deployment.waitUntilHealthy(stopped);
	await waitForMembers(deployment.daemons, deployment.daemons.length);
	await waitUntilLeased(stopped);
	t.is(await sendChatRequest(stopped), 'served');
});

test.serial('a suspended instance delays a change until its lease expires, and serves no withdrawn version when it resumes', async t => {
	const {deployment, session, revision: before} = await startTrial(t, {leaseMilliseconds: 20_000});
	const leader = findDaemon(deployment, 'control-a');
	const suspended = findDaemon(deployment, 'entry-b');
	t.is(await sendChatRequest(suspended, session), 'served');
	suspended.process.signal('SIGSTOP');
	const revision = await deployment.apply(trialConfiguration('withdrawn'), {replaces: before, by: leader});
	await waitUntil(async () => {
		const {inForce} = await distributionStatus(leader);
		return !inForce.complete && inForce.waitingFor.join(',') === 'zone-b' ? true : undefined;
	}, {description: 'only zone-b to be missing', ...waitOptions});
	await waitUntilInForce(leader, revision);
	suspended.process.signal('SIGCONT');
	t.is(await sendChatRequest(suspended, session), 'refused');
	t.is(await sendChatRequest(suspended), 'served');
	await waitUntilLeased(suspended);
	const {revision: current} = await distributionStatus(suspended);
	t.is(current, revision);
	t.is(await sendChatRequest(suspended, session), 'refused');
});

test.serial('an isolated zone serves settled versions, refuses the version in rollout, and catches up without revisions going back', async t => {
	const {deployment, session, revision: before} = await startTrial(t, {leaseMilliseconds: 4000});
	const leader = findDaemon(deployment, 'control-a');
	const isolatedDaemon = findDaemon(deployment, 'entry-c');
	const revisions: number[] = [];
	const recordRevision = async (): Promise<boolean> => {
		const {revision, isolated} = await distributionStatus(isolatedDaemon);
		revisions.push(revision);
		return isolated;
	};

	await partitionZone(deployment, 'zone-c');
	const revision = await deployment.apply(trialConfiguration('withdrawn'), {replaces: before, by: leader});
	await waitUntilInForce(leader, revision);
	t.true(await recordRevision());
	t.is(await sendChatRequest(isolatedDaemon, session), 'refused');
	t.is(await sendChatRequest(isolatedDaemon), 'served');
	t.is(await callLabelsService(isolatedDaemon), 'served');

	await partitionZone(deployment);
	await waitUntil(async () => await recordRevision() ? undefined : true, {description: 'the zone to regain a lease', ...waitOptions});
	await waitUntil(async () => {
		await recordRevision();
		return revisions.at(-1) === revision || undefined;
	}, {description: 'the zone to catch up', ...waitOptions});
	t.is(await sendChatRequest(isolatedDaemon, session), 'refused');
	t.deepEqual(revisions, revisions.toSorted((left, right) => left - right));
});
