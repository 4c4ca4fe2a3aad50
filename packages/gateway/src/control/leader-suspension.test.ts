import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {instanceOf, type ReplicaId} from '@valehitch/consensus';
import {
	type Clock, failure, type InstanceId, type ZoneId,
} from '@valehitch/core';
import {openDataFolder} from '@valehitch/storage';
import test, {type ExecutionContext} from 'ava';
import {Left, Right} from 'purify-ts';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {eventually, submit} from './_test-control.js';
import {ControlInstance} from './control-instance.js';

const instances = ['10.0.0.1', '10.0.0.2', '10.0.0.3'] as InstanceId[];

/** A clock whose monotonic time does not advance while its machine is suspended. */
class SuspendedClock implements Clock {
	#suspendedAt: number | undefined;
	#suspendedMilliseconds = 0;

	get isSuspended(): boolean {
		return this.#suspendedAt !== undefined;
	}

	now(): Date {
		return new Date();
	}

	monotonic(): number {
		return (this.#suspendedAt ?? performance.now()) - this.#suspendedMilliseconds;
	}

	suspend(): void {
		this.#suspendedAt = performance.now();
	}

	wake(): void {
		this.#suspendedMilliseconds += performance.now() - this.#suspendedAt!;
		this.#suspendedAt = undefined;
	}
}

type Member = {
	readonly control: ControlInstance;
	readonly clock: SuspendedClock;
	readonly leaders: string[];
};

/** Starts three control instances that exchange messages without delay, except while they are suspended. */
async function startGroup(t: ExecutionContext): Promise<ReadonlyMap<InstanceId, Member>> {
	const members = new Map<InstanceId, Member>();
	const isUnreachable = (one: InstanceId, other: InstanceId): boolean => [one, other].some(instance => members.get(instance)?.clock.isSuspended !== false);
	for (const self of instances) {
		const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-suspended-'));
		const clock = new SuspendedClock();
		const leaders: string[] = [];
		const control = new ControlInstance({
			self,
			zone: 'hall-a' as ZoneId,
			clock: {now: () => clock.now(), monotonic: () => clock.monotonic()},
			random: Math.random,
			log(kind, {leader}) {
				if (kind === 'leader-changed') {
					leaders.push(String(leader));
				}
			},
			metrics: createGatewayMetrics(),
			isFounding: true,
			processStartedAt: 0,
			seeds: () => instances,
			heartbeatMilliseconds: 1200,
			zones: () => [],
			toleratedLosses: 1,
			coldTolerance: {factor: 1, slack: 0},
			parse: () => Left(failure('invalid-configuration', 'not parsed here')),
			openFolder: async () => openDataFolder(folder, {lock: async () => Right(async () => undefined)}),
			savedServers: {read: async () => [], write: async () => true},
			savedSuspects: {read: async () => [], write: async () => true},
			send(to, message) {
				if (!isUnreachable(self, to)) {
					void members.get(to)?.control.answer(self, message);
				}
			},
			async ask(to, message) {
				return isUnreachable(self, to) ? undefined : members.get(to)?.control.answer(self, message);
			},
			run: self,
		});
		members.set(self, {control, clock, leaders});
		t.teardown(async () => {
			await control.stop();
			await rm(folder, {recursive: true, force: true});
		});
	}

	await Promise.all([...members.values()].map(async ({control}) => control.start()));
	return members;
}

test('a leader serves no reads from its lease after a suspension', async t => {
	const members = await startGroup(t);
	const first = members.get(instances[0]!)!;
	await eventually(async () => submit(first.control, 3));
	const suspended = await eventually(async () => {
		const leader = first.leaders.at(-1);
		return leader === undefined || leader === 'none' ? undefined : members.get(instanceOf(leader as ReplicaId) as InstanceId);
	});
	suspended.clock.suspend();
	const other = [...members.values()].find(member => member !== suspended)!;
	await eventually(async () => submit(other.control, 5));

	suspended.clock.wake();
	const read = await suspended.control.operators.readConfiguration();
	t.not(read.caseOf({Left: () => undefined, Right: ({document}) => document}), 'version 3');
	t.is(await eventually(async () => {
		const later = await suspended.control.operators.readConfiguration();
		return later.caseOf({Left: () => undefined, Right: ({document}) => document});
	}), 'version 5');
});
