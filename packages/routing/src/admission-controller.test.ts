import {type RequestId, toId, type WorkspaceId} from '@valehitch/core';
import test from 'ava';
import fc from 'fast-check';
import {type AdmissionRequest} from './admission-request.js';
import {AdmissionController} from './admission-controller.js';

const seed = 20_261_202;
const never = Number.MAX_SAFE_INTEGER;

function requestOf(id: number, members: Partial<AdmissionRequest> = {}): AdmissionRequest {
	return {
		id: toId<RequestId>(`r${id}`), workspace: toId<WorkspaceId>('mills'), weight: 1, priority: 5, cost: 100, deadline: never, serviceMilliseconds: 0, ...members,
	};
}

function workspaceOf(index: number): WorkspaceId {
	return toId<WorkspaceId>(`w${index}`);
}

/** A reference implementation of start-time fair queueing that scans all requests at each step. */
class ReferenceAdmission {
	readonly admitted = new Map<RequestId, AdmissionRequest>();
	#waiting: AdmissionRequest[] = [];
	readonly #next = new Map<WorkspaceId, number>();
	readonly #since = new Map<WorkspaceId, number>();
	readonly #capacity: number;
	#virtualTime = 0;

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	offer(request: AdmissionRequest): RequestId[] {
		if (!this.#waiting.some(({workspace}) => workspace === request.workspace)) {
			this.#since.set(request.workspace, this.#since.size === 0 ? 1 : Math.max(...this.#since.values()) + 1);
			this.#next.set(request.workspace, Math.max(this.#virtualTime, this.#next.get(request.workspace) ?? 0));
		}

		this.#waiting.push(request);
		return this.#admit();
	}

	leave(id: RequestId): RequestId[] {
		this.#waiting = this.#waiting.filter(request => request.id !== id);
		return this.#admit();
	}

	release(id: RequestId, tokens: number): RequestId[] {
		const request = this.admitted.get(id);
		if (request === undefined) {
			return [];
		}

		this.admitted.delete(id);
		this.#next.set(request.workspace, (this.#next.get(request.workspace) ?? 0) + ((tokens - request.cost) / request.weight));
		const next = this.#admit();
		if (this.admitted.size === 0) {
			this.#next.clear();
			this.#virtualTime = 0;
		}

		return next;
	}

	#admit(): RequestId[] {
		const ids: RequestId[] = [];
		for (;;) {
			const [first] = this.#waiting.toSorted((one, other) => this.#startOf(one) - this.#startOf(other) || this.#sinceOf(one) - this.#sinceOf(other) || one.priority - other.priority);
			const inProgress = [...this.admitted.values()].reduce((sum, {cost}) => sum + cost, 0);
			if (first === undefined || (this.admitted.size > 0 && inProgress + first.cost > this.#capacity)) {
				return ids;
			}

			const start = this.#startOf(first);
			this.#virtualTime = Math.max(this.#virtualTime, start);
			this.#next.set(first.workspace, start + (first.cost / first.weight));
			this.#waiting = this.#waiting.filter(request => request !== first);
			this.admitted.set(first.id, first);
			ids.push(first.id);
		}
	}

	#sinceOf({workspace}: AdmissionRequest): number {
		return this.#since.get(workspace) ?? 0;
	}

	#startOf({workspace}: AdmissionRequest): number {
		return this.#next.get(workspace) ?? 0;
	}
}

test('admits in the same order as the reference implementation', t => {
	const step = fc.record({
		kind: fc.constantFrom('offer', 'offer', 'release', 'leave'),
		workspace: fc.nat(4),
		priority: fc.nat(3),
		cost: fc.integer({min: 1, max: 400}),
		pick: fc.nat(30),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 120, size: 'max'}), steps => {
		const admission = new AdmissionController({capacity: 500, maximumQueueLength: 100_000});
		const reference = new ReferenceAdmission(500);
		// Irrational weights keep start times from being equal by chance.
		const weights = [1, Math.SQRT2, Math.E, Math.PI, Math.sqrt(7)];
		for (const [id, {kind, workspace, priority, cost, pick}] of steps.entries()) {
			if (kind === 'offer') {
				const request = requestOf(id, {
					workspace: workspaceOf(workspace), weight: weights[workspace]!, priority, cost: cost + (id / 1009),
				});
				const answer = admission.offer(request, id);
				const expected = reference.offer(request);
				t.is(expected.includes(request.id), answer.type === 'admitted');
				t.deepEqual(answer.unblocked, expected.filter(other => other !== request.id));
			} else if (kind === 'leave') {
				t.deepEqual(admission.cancel(toId(`r${pick}`)), reference.admitted.has(toId(`r${pick}`)) ? [] : reference.leave(toId(`r${pick}`)));
			} else {
				const released = [...reference.admitted.keys()][pick % Math.max(1, reference.admitted.size)] ?? toId<RequestId>('none');
				t.deepEqual(admission.release(released, {tokens: cost, now: id}), reference.release(released, cost));
			}
		}
	}), {seed, numRuns: 500, includeErrorInReport: true});
});

// The offer of r3 overtakes r1, which is too large, and so lets r2 of the same workspace start too.
test('an offer names every queued request that it admits', t => {
	const admission = new AdmissionController({capacity: 100});
	const first = toId<WorkspaceId>('first');
	const second = toId<WorkspaceId>('second');
	admission.offer(requestOf(0, {workspace: first, cost: 60, weight: 10}), 0);
	admission.offer(requestOf(1, {workspace: second, cost: 90}), 0);
	const blocked = admission.offer(requestOf(2, {workspace: first, cost: 20, weight: 10}), 0);
	t.is(blocked.type, 'queued');
	const overtaking = admission.offer(requestOf(3, {workspace: second, cost: 10, priority: 0}), 0);
	t.deepEqual(overtaking, {type: 'admitted', unblocked: [requestOf(2).id]});
	t.is(admission.inProgress, 90);
});

test('shares tokens within the bound of fair queueing, without starvation', t => {
	const anyWorkspaces = fc.array(fc.record({weight: fc.integer({min: 1, max: 9}), largest: fc.integer({min: 1, max: 500})}), {minLength: 2, maxLength: 10});
	fc.assert(fc.property(anyWorkspaces, fc.integer({min: 1, max: 1_000_000}), (workspaces, start) => {
		const admission = new AdmissionController({capacity: 1, maximumQueueLength: never});
		const served = workspaces.map(() => 0);
		const requests = new Map<RequestId, {readonly index: number; readonly cost: number}>();
		let draw = start;
		let id = 0;
		const offer = (index: number) => {
			draw = (draw * 48_271) % 2_147_483_647;
			const {weight, largest} = workspaces[index]!;
			const request = requestOf(id++, {workspace: workspaceOf(index), weight, cost: 1 + (draw % largest)});
			requests.set(request.id, {index, cost: request.cost});
			return admission.offer(request, 0);
		};

		admission.offer(requestOf(never, {workspace: workspaceOf(99)}), 0);
		for (const index of [...workspaces.keys(), ...workspaces.keys()]) {
			t.is(offer(index).type, 'queued');
		}

		let running = [toId<RequestId>(`r${never}`)];
		for (let round = 0; round < 300; round++) {
			const released = running[0]!;
			running = admission.release(released, {tokens: requests.get(released)?.cost ?? 100, now: round});
			t.is(running.length, 1);
			const {index, cost} = requests.get(running[0]!)!;
			served[index] = served[index]! + cost;
			offer(index);
			for (const [one, {weight, largest}] of workspaces.entries()) {
				for (const [other, rival] of workspaces.entries()) {
					const apart = Math.abs((served[one]! / weight) - (served[other]! / rival.weight));
					t.true(apart <= (largest / weight) + (rival.largest / rival.weight) + 1e-6);
				}
			}
		}
	}), {seed, numRuns: 60, includeErrorInReport: true});
});

test('refuses only requests that exceed the deadline or the queue limit, and tells when to retry', t => {
	const admission = new AdmissionController({capacity: 100, maximumQueueLength: 4});
	t.is(admission.offer(requestOf(0), 0).type, 'admitted');
	t.is(admission.offer(requestOf(1), 0).type, 'queued');
	t.deepEqual(admission.release(toId('r0'), {tokens: 100, now: 0}), ['r1']);
	t.is(admission.offer(requestOf(2), 0).type, 'queued');
	t.deepEqual(admission.release(toId('r1'), {tokens: 100, now: 1000}), ['r2'], 'the rate is now 0.2 tokens a millisecond');
	const wait = admission.offer(requestOf(3, {deadline: 1600, serviceMilliseconds: 100}), 1000);
	t.is(wait.type, 'queued');
	t.is(wait.type === 'queued' && wait.waitMilliseconds, 500);
	const late = admission.offer(requestOf(4, {deadline: 1600, serviceMilliseconds: 100}), 1000);
	t.is(late.type === 'refused' && late.failure.kind, 'overloaded');
	t.is(late.type === 'refused' && late.failure.retryAfterMilliseconds, 500);
	t.is(admission.offer(requestOf(5), 1000).type, 'queued');
	const overLimit = admission.offer(requestOf(6), 1000);
	t.is(overLimit.type === 'refused' && overLimit.failure.kind, 'limit-reached');
	t.is(admission.offer(requestOf(7, {workspace: workspaceOf(2)}), 1000).type, 'queued', 'there is room for another workspace');
});

test('forgets the workspaces when nothing is in progress', t => {
	const admission = new AdmissionController({capacity: 100});
	for (let id = 0; id < 50; id++) {
		admission.offer(requestOf(id, {workspace: workspaceOf(id)}), 0);
	}

	let running: RequestId[] = [toId('r0')];
	while (running[0] !== undefined) {
		running = admission.release(running[0], {tokens: 100, now: 0});
	}

	t.is(admission.workspaces, 0);
	t.is(admission.inProgress, 0);
});

// Throughput that is measured while nothing is queued reflects the demand; used as a capacity, it would refuse requests that the servers can handle.
test('the throughput of an unsaturated pool is not taken for its capacity', t => {
	const admission = new AdmissionController({capacity: 1000});
	const serviceMilliseconds = 500;
	let now = 0;
	for (let id = 0; id < 20; id++) {
		t.is(admission.offer(requestOf(id, {serviceMilliseconds}), now).type, 'admitted');
		now += serviceMilliseconds;
		// Two requests overlap, so that the busy period never ends.
		if (id > 0) {
			admission.release(toId(`r${id - 1}`), {tokens: 100, now});
		}
	}

	const burst = Array.from({length: 29}, (_, index) => admission.offer(requestOf(100 + index, {serviceMilliseconds, deadline: now + 3000}), now));
	t.deepEqual(burst.filter(({type}) => type === 'refused'), []);
});

// Such a rate would refuse requests for waits that do not occur.
test('a rate measured before or across a stall of the servers is not used after it', t => {
	const admission = new AdmissionController({capacity: 100});
	const serviceMilliseconds = 100;
	let now = 0;
	let id = 0;
	admission.offer(requestOf(id, {serviceMilliseconds}), now);
	const completeAfter = (milliseconds: number) => {
		t.is(admission.offer(requestOf(id + 1, {serviceMilliseconds}), now).type, 'queued');
		now += milliseconds;
		admission.release(toId(`r${id}`), {tokens: 100, now});
		id++;
	};

	for (let turn = 0; turn < 40; turn++) {
		completeAfter(serviceMilliseconds);
	}

	completeAfter(6000);
	completeAfter(serviceMilliseconds);
	// At most ten requests of 100 ms each are ahead.
	const burst = Array.from({length: 10}, (_, index) => admission.offer(requestOf(1000 + index, {serviceMilliseconds, deadline: now + 2000}), now));
	t.deepEqual(burst.filter(({type}) => type === 'refused'), []);
});
