import {readFile} from 'node:fs/promises';
import {defaultControlLimits} from '@valehitch/control';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import {
	detectDocumentKind, formatProblem, parseConfiguration, parseSettings, type DocumentProblem,
} from './mod.js';

const examples = new URL('../../../examples/', import.meta.url);
const settingsText = await readFile(new URL('embedded.yaml', examples), 'utf8');
const configurationText = await readFile(new URL('configuration.yaml', examples), 'utf8');

function settingsProblems(text: string): readonly string[] {
	return problemLines(parseSettings(text, 'a.yaml').swap().orDefault([]));
}

function configurationProblems(text: string): readonly string[] {
	return problemLines(parseConfiguration(text, 'c.yaml').swap().orDefault([]));
}

function problemLines(problems: readonly DocumentProblem[]): readonly string[] {
	return problems.map(problem => formatProblem(problem));
}

test('the example documents are valid', t => {
	t.true(parseSettings(settingsText, 'embedded.yaml').isRight());
	t.true(parseConfiguration(configurationText, 'configuration.yaml').isRight());
	t.is(detectDocumentKind(settingsText), 'settings');
	t.is(detectDocumentKind(configurationText), 'configuration');
	t.is(detectDocumentKind('other: 1'), undefined);
});

test('optional sections have defaults, and metrics are disabled by default', t => {
	const text = settingsText.slice(0, settingsText.indexOf('limits:'));
	const settings = parseSettings(text, 'a.yaml').unsafeCoerce();
	t.deepEqual(settings.limits, {bodyBytes: 4_194_304, headerBytes: 16_384});
	t.deepEqual(settings.timing, {
		announcementRenewMilliseconds: 1000, configurationLeaseMilliseconds: 5000, shutdownMilliseconds: 30_000, stallMilliseconds: 10_000,
	});
	t.is(settings.isolation.serve, 'settled');
	t.deepEqual(settings.badVersions, {
		ratings: {tolerance: 0.05, falseAlarmShare: 0.05, horizon: 1000},
		failures: {tolerance: 0.03, falseAlarmShare: 0.05, horizon: 100_000},
	});
	t.deepEqual(settings.controlLimits, defaultControlLimits);
	t.is(settings.logging.level, 'info');
	t.is(settings.metrics, undefined);
});

test('each limit of the control role can be set individually and is range-checked', t => {
	const settings = parseSettings(`${settingsText}\ncontrolLimits: {recentBills: 100}\n`, 'a.yaml').unsafeCoerce();
	t.deepEqual(settings.controlLimits, {...defaultControlLimits, recentBills: 100});
	const problems = (block: string) => settingsProblems(`${settingsText}\ncontrolLimits: ${block}\n`).map(problem => problem.replace(/^\S+ /v, ''));
	t.deepEqual(problems('{recentBills: 0, unknown: 1}'), [
		'controlLimits.recentBills: got 0, wanted a whole number from 1 to 1000000',
		'controlLimits.unknown: got the key "unknown", wanted a known key',
	]);
	t.deepEqual(problems('{claimMilliseconds: 1000}'), [
		'controlLimits.claimMinimumMilliseconds: got 600000, wanted at most claimMilliseconds, 1000',
	]);
});

test('every problem reports its position, its field, and the actual and expected value', t => {
	const text = settingsText
		.replace('port: 8080', 'port: x')
		.replace('bodyBytes', 'bodyByte')
		.replace('level: info', 'level: loud')
		.replace('region: prairie-south\n', '');
	t.deepEqual(settingsProblems(text), [
		'a.yaml:2:1 region: got nothing, wanted 1 to 64 of a to z, 0 to 9, dot, dash and underscore, starting with a letter or digit',
		'a.yaml:6:36 listen.callers.port: got "x", wanted a whole number from 0 to 65535',
		'a.yaml:25:3 limits.bodyByte: got the key "bodyByte", wanted a known key',
		'a.yaml:34:18 logging.level: got "loud", wanted one of trace, debug, info, warn, error, fatal',
	]);
});

test('settings that contradict each other are reported', t => {
	const text = settingsText
		.replace('port: 8081', 'port: 8080')
		.replace('dataFolder: data/entry-1', '')
		.replace('- {instance: entry-1', '- {instance: entry-2');
	t.deepEqual(settingsProblems(text), [
		'a.yaml:2:1 dataFolder: got nothing, wanted a folder, since the roles have control',
		'a.yaml:13:3 control: got a list without entry-1, wanted entry-1 in the list, since its roles have control',
		'a.yaml:8:37 listen.backends.port: got 8080, the port of listen.callers, wanted a port that no other address uses',
	]);
});

test('the control list must have an odd number of unique instances', t => {
	const entry = settingsText.split('\n').find(line => line.startsWith('  - {instance:')) ?? '';
	const problems = settingsProblems(settingsText.replace(entry, `${entry}\n${entry}`));
	t.deepEqual(problems, [
		'a.yaml:13:3 control: got a list of 2, wanted an odd number of instances, at most 6',
		'a.yaml:14:16 control[1].instance: got the duplicate "entry-1", wanted unique values',
	]);
	const seven = Array.from({length: 7}, (_, index) => entry.replace('entry-1', `entry-${index + 1}`)).join('\n');
	t.regex(settingsProblems(settingsText.replace(entry, seven))[0] ?? '', /a list of 7, wanted an odd number of instances, at most 6$/v);
});

test('port 0 selects a free port and may be used for several addresses', t => {
	const text = settingsText.replaceAll(/port: 808\d/gv, 'port: 0');
	t.deepEqual(settingsProblems(text), []);
	t.regex(settingsProblems(text.replace('{instance: entry-1', '{instance: entry-2')).join('\n'), /control\[0\]\.port: got 0/v);
});

test('a session key that is too short is rejected without revealing it', t => {
	const problems = settingsProblems(settingsText.replace('change-me-session-key-0123456789abcdef', 'hush-hush'));
	t.deepEqual(problems, ['a.yaml:24:21 keys.sessions[0].key: got a value of 9 characters, wanted a string of 16 to 1024 characters']);
});

test('malformed YAML is reported with its line', t => {
	t.regex(settingsProblems('instance: a\nzone: [b')[0] ?? '', /^a\.yaml:2:\d+: got malformed YAML/v);
	t.regex(settingsProblems('zone: a\nzone: b')[0] ?? '', /^a\.yaml:2:1: got malformed YAML \(Map keys must be unique/v);
	t.regex(settingsProblems('zone: !own b')[0] ?? '', /^a\.yaml:1:7: got malformed YAML \(Unresolved tag/v);
});

test('alias expansion and document size are limited', t => {
	const levels = Array.from({length: 9}, (_, index) => `l${index + 1}: &l${index + 1} [${Array.from({length: 9}, () => `*l${index}`).join(', ')}]`);
	t.regex(settingsProblems(['l0: &l0 [a]', ...levels].join('\n'))[0] ?? '', /alias/iv);
	t.regex(settingsProblems(`# ${'x'.repeat(1_100_000)}`)[0] ?? '', /got 1100002 bytes, wanted at most 1048576 bytes/v);
	t.true(settingsProblems('['.repeat(100_000)).length > 0);
});

test('references to missing configuration entries are reported', t => {
	const text = configurationText
		.replace('replaces: "1.0"', 'replaces: "0.9"')
		.replace('tag-small: ["1.0", "1.1"]', 'tag-small: ["1.0", "1.2"]\n      constructor: ["1"]')
		.replace('services: [labels]', 'services: [label]')
		.replace('reconcile-large: ["2.0"]', '')
		.replace('models: [tag-small, reconcile-large], qualityTarget: 0.9', 'models: [tag-smal], qualityTarget: 0.9');
	t.deepEqual(configurationProblems(text).map(line => line.replace(/^(?<place>\S+?:\d+):\d+/v, '$<place>')), [
		'c.yaml:5 models.tag-small.versions["1.1"].replaces: got "0.9", wanted a version of the same model',
		'c.yaml:19 workspaces.yard.allowed.tag-small[1]: got "1.2", wanted a version of tag-small',
		'c.yaml:20 workspaces.yard.allowed.constructor: got the model "constructor", wanted a model under models',
		'c.yaml:22 workspaces.yard.services[0]: got "label", wanted a service under services',
		'c.yaml:24 workspaces.yard.policy[0].models[1]: got "reconcile-large", wanted a model under allowed',
		'c.yaml:25 workspaces.yard.policy[1].models[0]: got "tag-smal", wanted a model under models',
	]);
});

test('a version in a rollout must have stages and replace a different version', t => {
	const version = '{state: rolling-out, quality: 1, prices: {input: 0, output: 0}';
	t.deepEqual(configurationProblems(`models:\n  m:\n    versions:\n      1.10: ${version}}\n      b: ${version}, replaces: b, stages: [{share: 1}]}`), [
		'c.yaml:4:7 models.m.versions["1.10"].replaces: got nothing, wanted the version that the rollout replaces',
		'c.yaml:4:7 models.m.versions["1.10"].stages: got nothing, wanted the stages of the rollout',
		'c.yaml:5:84 models.m.versions.b.replaces: got "b", wanted a different version',
	]);
});

test('a key that is not a valid id is reported with its position', t => {
	t.deepEqual(configurationProblems('services:\n  Labels: {}'), [
		'c.yaml:2:3 services.Labels: got the key "Labels", wanted 1 to 64 of a to z, 0 to 9, dot, dash and underscore, starting with a letter or digit',
	]);
});

test('conditions are validated by the given function', t => {
	const problems = parseConfiguration(configurationText, 'c.yaml', {
		checkCondition: expression => expression.includes('lookup') ? Left('no such field') : Right(true),
	}).swap().orDefault([]);
	t.is(problems.length, 1);
	t.is(problems[0]?.path, 'workspaces.yard.policy[0].when');
	t.is(problems[0]?.line, 23);
	t.regex(problems[0]?.wanted ?? '', /no such field/v);
});
