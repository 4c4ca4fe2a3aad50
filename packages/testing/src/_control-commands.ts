import {
	type ClaimSettlement, type Command, type IdempotencyKey, type OrderId,
} from '@valehitch/control';
import {
	type Bill, type ChangeId, type Configuration, type InstanceId, type Micros, type RequestId, type ServerId, toId, toRevision, type VersionConfiguration, type VersionId, type WorkspaceId,
} from '@valehitch/core';
import fc from 'fast-check';
import {type ControlOracle, type ListedState, oracleModel as model} from './_control-oracle.js';

const stages = [{share: 0.1, minimumRatings: 0, minimumSeconds: 0}, {share: 1, minimumRatings: 0, minimumSeconds: 0}];
const numberedName = (prefix: string, maximum: number) => fc.integer({min: 1, max: maximum}).map(number => `${prefix}${number}`);
const listed = fc.constantFrom<ListedState>('absent', 'settled', 'rolling-out', 'rolling-out', 'withdrawn');
const version = fc.constantFrom(toId<VersionId>('a'), toId<VersionId>('b'));
function documentOf(states: Readonly<Record<string, ListedState>>): Configuration {
	const versions: Record<string, VersionConfiguration> = {};
	for (const [version, state] of Object.entries(states)) {
		if (state !== 'absent') {
			versions[version] = {
				state, quality: 0.5, prices: {input: 1, output: 1}, stages,
			};
		}
	}

	return {models: {[model]: {versions}}, services: {}, workspaces: {}};
}

// Clock errors of instances: none, far behind and far ahead.
const clockErrors = [0, -1_000_000_000, 1_000_000_000] as const;
const billOf = (number: number, {hasOrigin, at}: {hasOrigin: boolean; at: number}): Bill => ({
	workspace: toId<WorkspaceId>(`w${number % 2}`),
	request: toId<RequestId>(`${hasOrigin ? 'o' : 'p'}${number}`),
	// Six consecutive numbers share an instance, so that position ranges are merged.
	instance: toId<InstanceId>(`i${Math.ceil(number / 6)}`),
	lines: [],
	total: number as Micros,
	outcome: 'answered',
	settledAt: hasOrigin ? at + clockErrors[number % clockErrors.length]! : number,
	// Each run has three consecutive numbers, and each instance two runs, so that ranges are merged and runs expire one at a time.
	...(hasOrigin && {origin: {startedAt: Math.ceil(number / 3), sequence: number}}),
});
const claimed = {
	workspace: numberedName('w', 2).map(id => toId<WorkspaceId>(id)), key: numberedName('k', 6).map(id => toId<IdempotencyKey>(id)),
	request: numberedName('r', 4).map(id => toId<RequestId>(id)),
};
const settlement = fc.oneof(
	fc.constantFrom<ClaimSettlement>({type: 'released'}, {type: 'unknown'}),
	fc.integer({min: 1, max: 10}).map((bytes): ClaimSettlement => ({
		type: 'done', answer: {
			status: 200, headers: {}, digest: `${bytes}`, bytes, body: new Uint8Array(bytes),
		},
	})),
);

/** Creates a command once its time and the state's revision are known. */
export type CommandFactory = (now: {readonly at: number; readonly oracle: ControlOracle}) => Command;
/** Settles one of the open claims as its owner, so that long claim lifetimes are covered. */
function settleOpenClaim(oracle: ControlOracle, {choice, settlement: given, at}: {readonly choice: number; readonly settlement: ClaimSettlement; readonly at: number}): Command {
	const open = oracle.claims.filter(({state}) => state === 'open');
	const {workspace, key, owner} = open[choice % open.length] ?? {workspace: 'w1', key: 'k1', owner: 'r1'};
	return {
		type: 'settle-claim', workspace: toId<WorkspaceId>(workspace), key: toId<IdempotencyKey>(key), request: toId<RequestId>(owner), settlement: given, at,
	};
}

/** Generates any command over a small set of names, so that commands affect each other. */
export const anyCommand: fc.Arbitrary<CommandFactory> = fc.oneof(
	fc.record({
		change: numberedName('c', 6), a: listed, b: listed, isStale: fc.constantFrom(false, false, true),
	}).map(({change, a, b, isStale}): CommandFactory => ({at, oracle}) => ({
		type: 'apply-configuration',
		changeId: toId<ChangeId>(change),
		digest: `${a}/${b}`,
		expectedRevision: toRevision(oracle.revision - (isStale ? 1 : 0)),
		document: documentOf({a, b}),
		at,
	})),
	fc.record({version, fromStage: fc.integer({min: 0, max: 1})}).map((found): CommandFactory => ({at}) => ({
		type: 'advance-rollout', model, ...found, at,
	})),
	version.map((found): CommandFactory => ({at}) => ({
		type: 'stop-version', model, version: found, reason: 'bad', at,
	})),
	fc.record({
		...claimed, requestDigest: fc.constantFrom('d1', 'd1', 'd1', 'd2'), instance: numberedName('i', 2).map(id => toId<InstanceId>(id)),
	}).map((found): CommandFactory => ({at}) => ({type: 'take-claim', ...found, at})),
	fc.record({...claimed, settlement}).map((found): CommandFactory => ({at}) => ({type: 'settle-claim', ...found, at})),
	fc.record({choice: fc.nat(20), settlement}).map(({choice, settlement: given}): CommandFactory => ({at, oracle}) => settleOpenClaim(oracle, {choice, settlement: given, at})),
	numberedName('i', 2).map((instance): CommandFactory => ({at}) => ({type: 'instance-lost', instance: toId<InstanceId>(instance), at})),
	fc.array(fc.tuple(fc.integer({min: 1, max: 12}), fc.boolean()), {maxLength: 4}).map((bills): CommandFactory => ({at}) => ({
		type: 'record-bills', bills: bills.map(([number, hasOrigin]) => billOf(number, {hasOrigin, at})),
	})),
	fc.record({
		orderId: numberedName('o', 5).map(id => toId<OrderId>(id)), server: numberedName('s', 2).map(id => toId<ServerId>(id)), role: numberedName('role', 2),
	}).map(({role, ...found}): CommandFactory => ({at}) => ({
		type: 'issue-order', ...found, order: {type: 'set-role', role}, at,
	})),
	fc.record({orderId: numberedName('o', 5).map(id => toId<OrderId>(id)), outcome: fc.constantFrom('done' as const, 'failed' as const)}).map((found): CommandFactory => ({at, oracle}) => ({
		type: 'complete-order', ...found, fencing: {term: 1, sequence: oracle.orders.find(({id}) => id === found.orderId)?.index ?? 0}, at,
	})),
	// Clock readings are as frequent as all other commands together, from leaders whose clocks are right or wrong by seconds, hours or years.
	{weight: 12, arbitrary: fc.constantFrom(0, 0, 0, 0, 0, 0, 5000, -5000, 10_000_000, -10_000_000, 100_000_000_000).map((error): CommandFactory => ({at}) => ({type: 'expire', at: at + error}))},
);
