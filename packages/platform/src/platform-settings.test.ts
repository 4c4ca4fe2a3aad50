import test from 'ava';
import {formatProblem} from '@valehitch/settings';
import {parsePlatformSettings} from './platform-settings.js';

const text = `node: "front-hall-a-1"
role: "my-front"
ip: "10.1.0.40"
zone: "hall-a"
listen:
  front: "10.1.0.40:8227"
  ready: "10.1.0.40:8220"
portRange:
  - 7340
  - 7355
seeds:
  - "10.1.0.43:8229"
bootstrap: true
dataDir: null
heartbeatMs: 1200
somethingNew: [1, 2]
bounds:
  graceS: 8
  revokeMs: 5000
  canaryShare: 0.15
  retryBudgetRatio: 0.9
  sessionS: 5
`;

test('the settings file of the platform is parsed', t => {
	const settings = parsePlatformSettings(text, 'node.yaml').unsafeCoerce();
	t.like(settings, {
		instance: '10.1.0.40', zone: 'hall-a', callers: {host: '10.1.0.40', port: 8227}, control: undefined, peers: {
			host: '10.1.0.40',
			port: 7340,
		}, seeds: ['10.1.0.43'], isFounding: true, dataFolder: undefined,
	});
	t.is(settings.gracePeriod, 8000);
});

test('missing and invalid fields are reported with their location', t => {
	const problems = parsePlatformSettings(text.replace('heartbeatMs: 1200\n', '').replace('8227', 'x'), 'node.yaml').swap().unsafeCoerce();
	const lines = problems.map(problem => formatProblem(problem));
	t.is(lines.length, 2);
	t.regex(lines.join('\n'), /node\.yaml:6:.*listen\.front/v);
	t.regex(lines.join('\n'), /heartbeatMs/v);
});

test('decisions on one request in a hundred are noted unless the settings say otherwise, and a share that is none is reported', t => {
	t.is(parsePlatformSettings(text, 'node.yaml').unsafeCoerce().notedShare, 0.01);
	t.is(parsePlatformSettings(`${text}inspection: {notedShare: 0}\n`, 'node.yaml').unsafeCoerce().notedShare, 0);
	for (const value of ['1.5', '-0.1', 'all']) {
		const problems = parsePlatformSettings(`${text}inspection: {notedShare: ${value}}\n`, 'node.yaml').swap().unsafeCoerce();
		t.regex(problems.map(problem => formatProblem(problem)).join('\n'), /inspection\.notedShare/v);
	}
});

test('what an instance may hold is a share of its memory, unlimited without one, and a share that is none is reported', t => {
	const heldBytes = (limits: string): number | undefined => parsePlatformSettings(`${text}${limits}`, 'node.yaml').unsafeCoerce().heldBytes;
	t.is(heldBytes(''), undefined);
	t.is(heldBytes('limits: {cpuShare: 0.3}\n'), undefined);
	t.is(heldBytes('limits: {memoryMb: null}\n'), undefined);
	t.is(heldBytes('limits: {memoryMb: 160}\n'), 40 * 1_048_576);
	t.is(heldBytes('limits: {memoryMb: 160, heldShare: 0.5}\n'), 80 * 1_048_576);
	for (const [field, value] of [['heldShare', '0'], ['heldShare', '1.1'], ['heldShare', 'half'], ['memoryMb', '0'], ['memoryMb', '-1'], ['memoryMb', 'much']] as const) {
		const problems = parsePlatformSettings(`${text}limits: {${field}: ${value}}\n`, 'node.yaml').swap().unsafeCoerce();
		t.regex(problems.map(problem => formatProblem(problem)).join('\n'), new RegExp(String.raw`limits\.${field}`, 'v'));
	}
});
