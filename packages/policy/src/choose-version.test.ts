import test from 'ava';
import {
	type ModelId, toId, type VersionConfiguration,
} from '@valehitch/core';
import fc from 'fast-check';
import {
	chooseVersion, type ChooseVersionOptions, type VersionChoice, estimate, decideExposure, checkDispatch,
} from './mod.js';
import {
	configurationOf, requestOf, rollingOutVersion, ruleOf, settledVersion, target, testSeed, yard,
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

type GeneratedVersion = {state: string; quality: number; price: number; forbidden: boolean};

function setUp(drawn: readonly GeneratedVersion[], withCascades: boolean): ChooseVersionOptions {
	const models: Record<string, Record<string, VersionConfiguration>> = {};
	const forbidden: string[] = [];
	for (const [index, {state, quality, price, forbidden: isForbidden}] of drawn.entries()) {
		const listed = {...rollingOutVersion(quality, 0.5), ...settledVersion(quality, price), state: state as VersionConfiguration['state']};
		models[`m${index}`] = {1: listed};
		if (isForbidden) {
			forbidden.push(`m${index}@1`);
		}
	}

	const rule = ruleOf(Object.keys(models), withCascades ? {escalation} : {});
	return {configuration: configurationOf(models, forbidden), rule, isServed: () => true};
}

function chosenOf(options: ChooseVersionOptions, request = requestOf()): VersionChoice | undefined {
	return chooseVersion(request, options).toMaybe().extract();
}

const versionsArbitrary = fc.array(versionArbitrary, {minLength: 1, maxLength: 8});

function isValidChoice(drawn: readonly GeneratedVersion[], withCascades: boolean): boolean {
	const options = setUp(drawn, withCascades);
	const choice = chosenOf(options);
	const usable = new Set(Object.keys(options.configuration.document.models)
		.filter(model => checkDispatch(options.configuration, {...target(model, '1'), workspace: yard, isolated: false}) === 'allowed'));
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

test('a chosen version may always be dispatched, and no version that meets the target is cheaper', t => {
	t.notThrows(() => {
		fc.assert(fc.property(versionsArbitrary, fc.boolean(), isValidChoice), {seed: testSeed, numRuns: 2000});
	});
});

test('raising the price of a version that is not chosen does not change the choice', t => {
	t.notThrows(() => {
		fc.assert(fc.property(versionsArbitrary, fc.nat(), (drawn, picked) => {
			const before = chosenOf(setUp(drawn, false));
			const index = picked % drawn.length;
			const after = chosenOf(setUp(drawn.map((found, at) => at === index ? {...found, price: found.price + 5} : found), false));
			return before?.chosen.model === `m${index}` || before?.chosen.model === after?.chosen.model;
		}), {seed: testSeed, numRuns: 1000});
	});
});

test('compared with taking the first sufficient version, the choice never costs more and serves every request that it serves', t => {
	let cheaper = 0;
	fc.assert(fc.property(versionsArbitrary, drawn => {
		const firstSufficient = drawn.find(({state, quality, forbidden}) => state === 'settled' && !forbidden && quality >= 0.8);
		const choice = chosenOf(setUp(drawn, false));
		if (firstSufficient === undefined || choice === undefined) {
			return firstSufficient === undefined;
		}

		const firstSufficientCost = firstSufficient.price * 200;
		cheaper += choice.chosen.expectedCost < firstSufficientCost ? 1 : 0;
		return !choice.belowTarget && choice.chosen.expectedCost <= firstSufficientCost;
	}), {seed: testSeed, numRuns: 1000});
	t.true(cheaper > 50, `${cheaper} of 1000 choices cheaper than the first sufficient version, expected more than 50`);
});

test('a cascade is chosen while escalation is rare, the expensive version directly when it is likely, and no cascade for streams and sessions', t => {
	const configuration = configurationOf({small: {1: settledVersion(0.7, 1)}, large: {1: settledVersion(0.95, 10)}});
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

test('a rule that prefers latency takes a faster version only at nearly equal cost', t => {
	const configuration = configurationOf({a: {1: settledVersion(0.9, 100)}, b: {1: settledVersion(0.9, 109)}, c: {1: settledVersion(0.9, 120)}});
	const milliseconds: Readonly<Record<string, number>> = {a: 900, b: 300, c: 100};
	const options: Omit<ChooseVersionOptions, 'rule'> = {configuration, isServed: () => true, expectedMilliseconds: ({model}) => milliseconds[model] ?? 0};
	t.is(chosenOf({...options, rule: ruleOf(['a', 'b', 'c'])})?.chosen.model, target('a', '1').model);
	t.is(chosenOf({...options, rule: ruleOf(['a', 'b', 'c'], {prefers: 'latency'})})?.chosen.model, target('b', '1').model);
});

test('below the target the best version serves with belowTarget set, or the rule refuses; a locally stopped version comes last', t => {
	const configuration = configurationOf({a: {1: settledVersion(0.5, 1)}, b: {1: settledVersion(0.7, 9)}});
	const options: ChooseVersionOptions = {configuration, rule: ruleOf(['a', 'b']), isServed: () => true};
	t.like(chosenOf(options), {belowTarget: true, chosen: {model: target('b', '1').model}});
	t.is(chosenOf({...options, rule: ruleOf(['a', 'b'], {whenBelowTarget: 'refuse'})}), undefined);
	const isStoppedLocally = ({model}: {model: ModelId}): boolean => model === toId<ModelId>('b');
	t.like(chosenOf({...options, isStoppedLocally}), {belowTarget: true, chosen: {model: target('a', '1').model}});
	t.is(checkDispatch(configuration, {
		...target('b', '1'), workspace: yard, isolated: false, isStoppedLocally,
	}), 'version-stopped');
});

test('an inherited property name such as constructor is not a model', t => {
	const options: ChooseVersionOptions = {configuration: configurationOf({a: {1: settledVersion(0.9, 1)}}), rule: ruleOf(['a']), isServed: () => true};
	const request = {...requestOf(), namedModel: toId<ModelId>('constructor')};
	t.is(chooseVersion(request, options).swap().toMaybe().extract()?.kind, 'forbidden');
});

test('a rollout takes its share of bucketing keys, always the same ones, up to its limit, and only while it is running', t => {
	const versions = {1: settledVersion(0.85, 1), 2: rollingOutVersion(0.86, 0.2)};
	const configuration = configurationOf({m: versions});
	const options: ChooseVersionOptions = {configuration, rule: ruleOf(['m']), isServed: () => true};
	const newVersion = target('m', '2');
	let newVersionCount = 0;
	for (let index = 0; index < 5000; index += 1) {
		const bucketingKey = `s${index}`;
		const isNewVersion = chosenOf({...options, bucketingKey})?.chosen.version === newVersion.version;
		newVersionCount += isNewVersion ? 1 : 0;
		const larger = configurationOf({m: {...versions, 2: rollingOutVersion(0.86, 0.5)}});
		t.true(!isNewVersion || decideExposure(larger, {...newVersion, bucketingKey, inProgress: 0}) === 'exposed');
		t.is(chosenOf({...options, bucketingKey}, requestOf(`other-${index}`))?.chosen.version === newVersion.version, isNewVersion);
		t.false(chosenOf({...options, bucketingKey, isolated: true})?.chosen.version === newVersion.version);
		t.false(chosenOf({...options, bucketingKey, inProgress: () => 32})?.chosen.version === newVersion.version);
		t.false(chosenOf({...options, bucketingKey, isStoppedLocally: ({version}) => version === newVersion.version})?.chosen.version === newVersion.version);
		t.false(chosenOf({...options, bucketingKey, configuration: {...configuration, rollouts: {}}})?.chosen.version === newVersion.version);
	}

	t.true(newVersionCount > 900 && newVersionCount < 1100, `${newVersionCount} of 5000 requests on the new version, expected about a fifth`);
});
