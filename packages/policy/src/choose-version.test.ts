import test from 'ava';
import {
	type ModelId, toId, type VersionConfiguration,
} from '@valehitch/core';
import fc from 'fast-check';
import {
	chooseVersion, type ChooseVersionOptions, type Choice, estimate, exposure, mayDispatch,
} from './mod.js';
import {
	configurationOf, requestOf, rollingOut, ruleOf, settled, target, testSeed, yard,
} from './_test-configuration.js';

const versionArbitrary = fc.record({
	state: fc.constantFrom('settled', 'settled', 'settled', 'settled', 'withdrawn', 'rolling-out'),
	quality: fc.integer({min: 50, max: 99}).map(percent => percent / 100),
	price: fc.integer({min: 1, max: 20}),
	forbidden: fc.nat(3).map(drawn => drawn === 0),
});
const escalation = {
	signs: ['truncated'], minimumConfidence: 0.5, expectedShare: 0.3, acceptedQuality: 0.9,
} as const;

type Drawn = {state: string; quality: number; price: number; forbidden: boolean};

function setUp(drawn: readonly Drawn[], withCascades: boolean): ChooseVersionOptions {
	const models: Record<string, Record<string, VersionConfiguration>> = {};
	const forbidden: string[] = [];
	for (const [index, {state, quality, price, forbidden: isForbidden}] of drawn.entries()) {
		const listed = {...rollingOut(quality, 0.5), ...settled(quality, price), state: state as VersionConfiguration['state']};
		models[`m${index}`] = {1: listed};
		if (isForbidden) {
			forbidden.push(`m${index}@1`);
		}
	}

	const rule = ruleOf(Object.keys(models), withCascades ? {escalation} : {});
	return {configuration: configurationOf(models, forbidden), rule, isServed: () => true};
}

function chosenOf(options: ChooseVersionOptions, request = requestOf()): Choice | undefined {
	return chooseVersion(request, options).toMaybe().extract();
}

const drawnArbitrary = fc.array(versionArbitrary, {minLength: 1, maxLength: 8});

function isSound(drawn: readonly Drawn[], withCascades: boolean): boolean {
	const options = setUp(drawn, withCascades);
	const choice = chosenOf(options);
	const usable = new Set(Object.keys(options.configuration.document.models)
		.filter(model => mayDispatch(options.configuration, {...target(model, '1'), workspace: yard, isolated: false}) === 'allowed'));
	if (choice === undefined) {
		return [...usable].every(model => options.configuration.rollouts[`${model}@1`] !== undefined);
	}

	const {chosen, considered, belowTarget} = choice;
	const used = chosen.kind === 'cascade' ? [chosen.model, chosen.escalatesTo.model] : [chosen.model];
	const isAllowed = used.every(model => usable.has(model));
	const isCheapest = considered.every(found => !usable.has(found.model)
		|| found.verdict.startsWith('outside')
		|| found.quality < 0.8
		|| found.expectedCost >= chosen.expectedCost);
	return isAllowed && (belowTarget ? chosen.quality < 0.8 : chosen.quality >= 0.8 && isCheapest);
}

test('a chosen version is always one that may be dispatched, and nothing that meets the target is cheaper', t => {
	t.notThrows(() => {
		fc.assert(fc.property(drawnArbitrary, fc.boolean(), isSound), {seed: testSeed, numRuns: 2000});
	});
});

test('a version that is not chosen stays so when it becomes dearer', t => {
	t.notThrows(() => {
		fc.assert(fc.property(drawnArbitrary, fc.nat(), (drawn, picked) => {
			const before = chosenOf(setUp(drawn, false));
			const index = picked % drawn.length;
			const after = chosenOf(setUp(drawn.map((found, at) => at === index ? {...found, price: found.price + 5} : found), false));
			return before?.chosen.model === `m${index}` || before?.chosen.model === after?.chosen.model;
		}), {seed: testSeed, numRuns: 1000});
	});
});

test('against the naive choice: never dearer where both meet the target, and it serves wherever the naive one does', t => {
	let cheaper = 0;
	fc.assert(fc.property(drawnArbitrary, drawn => {
		const naive = drawn.find(({state, quality, forbidden}) => state === 'settled' && !forbidden && quality >= 0.8);
		const choice = chosenOf(setUp(drawn, false));
		if (naive === undefined || choice === undefined) {
			return naive === undefined;
		}

		const naiveCost = naive.price * 200;
		cheaper += choice.chosen.expectedCost < naiveCost ? 1 : 0;
		return !choice.belowTarget && choice.chosen.expectedCost <= naiveCost;
	}), {seed: testSeed, numRuns: 1000});
	t.true(cheaper > 50, `Got ${cheaper} of 1000 cheaper than the naive choice`);
});

test('a cascade is taken while escalation is rare, the dear version directly when it is likely, and never for streams and sessions', t => {
	const configuration = configurationOf({small: {1: settled(0.7, 1)}, large: {1: settled(0.95, 10)}});
	const rule = ruleOf(['small', 'large'], {qualityTarget: 0.9, escalation: {...escalation, acceptedQuality: 0.93}});
	const withShare = (share: number): ChooseVersionOptions => ({
		configuration,
		rule,
		isServed: () => true,
		quality: (key, prior) => estimate(undefined, key.measure === 'escalation' ? {value: share} : prior),
	});
	t.is(chosenOf(withShare(0.2))?.chosen.kind, 'cascade');
	t.is(Number(chosenOf(withShare(0.2))?.chosen.expectedCost), 600);
	t.is(chosenOf(withShare(0.95))?.chosen.model, target('large', '1').model);
	t.is(chosenOf(withShare(0.95))?.chosen.kind, 'direct');
	t.is(chosenOf(withShare(0.2), requestOf('r1', {stream: true}))?.chosen.kind, 'direct');
	t.is(chosenOf(withShare(0.2), requestOf('r1', {session: true}))?.chosen.kind, 'direct');
	t.regex(chosenOf(withShare(0.95))?.considered.at(-1)?.verdict ?? '', /^dearer: expected cost 2100 against 2000/v);
});

test('a rule that prefers latency takes the faster at nearly equal cost only', t => {
	const configuration = configurationOf({a: {1: settled(0.9, 100)}, b: {1: settled(0.9, 109)}, c: {1: settled(0.9, 120)}});
	const milliseconds: Readonly<Record<string, number>> = {a: 900, b: 300, c: 100};
	const options = {configuration, isServed: () => true, expectedMilliseconds: ({model}: {model: ModelId}) => milliseconds[model] ?? 0};
	t.is(chosenOf({...options, rule: ruleOf(['a', 'b', 'c'])})?.chosen.model, target('a', '1').model);
	t.is(chosenOf({...options, rule: ruleOf(['a', 'b', 'c'], {prefers: 'latency'})})?.chosen.model, target('b', '1').model);
});

test('below the target the best one serves and says so, or the rule refuses; a stop of this instance is the last resort', t => {
	const configuration = configurationOf({a: {1: settled(0.5, 1)}, b: {1: settled(0.7, 9)}});
	const options = {configuration, rule: ruleOf(['a', 'b']), isServed: () => true};
	t.like(chosenOf(options), {belowTarget: true, chosen: {model: target('b', '1').model}});
	t.is(chosenOf({...options, rule: ruleOf(['a', 'b'], {whenBelowTarget: 'refuse'})}), undefined);
	const isStoppedHere = ({model}: {model: ModelId}): boolean => model === toId<ModelId>('b');
	t.like(chosenOf({...options, isStoppedHere}), {belowTarget: true, chosen: {model: target('a', '1').model}});
	t.is(mayDispatch(configuration, {
		...target('b', '1'), workspace: yard, isolated: false, isStoppedHere,
	}), 'version-stopped');
});

test('a name such as constructor is no model', t => {
	const options = {configuration: configurationOf({a: {1: settled(0.9, 1)}}), rule: ruleOf(['a']), isServed: () => true};
	const request = {...requestOf(), namedModel: toId<ModelId>('constructor')};
	t.is(chooseVersion(request, options).swap().toMaybe().extract()?.kind, 'forbidden');
});

test('a roll-out takes its share of subjects, the same ones each time, up to its limit, and only while it runs', t => {
	const versions = {1: settled(0.85, 1), 2: rollingOut(0.86, 0.2)};
	const configuration = configurationOf({m: versions});
	const options = {configuration, rule: ruleOf(['m']), isServed: () => true};
	const fresh = target('m', '2');
	let taken = 0;
	for (let index = 0; index < 5000; index += 1) {
		const subject = `s${index}`;
		const isFresh = chosenOf({...options, subject})?.chosen.version === fresh.version;
		taken += isFresh ? 1 : 0;
		const larger = configurationOf({m: {...versions, 2: rollingOut(0.86, 0.5)}});
		t.true(!isFresh || exposure(larger, {...fresh, subject, inProgress: 0}) === 'exposed');
		t.is(chosenOf({...options, subject}, requestOf(`other-${index}`))?.chosen.version === fresh.version, isFresh);
		t.false(chosenOf({...options, subject, isolated: true})?.chosen.version === fresh.version);
		t.false(chosenOf({...options, subject, inProgress: () => 32})?.chosen.version === fresh.version);
		t.false(chosenOf({...options, subject, isStoppedHere: ({version}) => version === fresh.version})?.chosen.version === fresh.version);
		t.false(chosenOf({...options, subject, configuration: {...configuration, rollouts: {}}})?.chosen.version === fresh.version);
	}

	t.true(taken > 900 && taken < 1100, `Got ${taken} of 5000, wanted about a fifth`);
});
