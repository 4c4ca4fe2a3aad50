import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {type Readable} from 'node:stream';
import test from 'ava';
import {freePorts} from './free-ports.js';

const moduleUrl = new URL('free-ports.js', import.meta.url).href;
const processes = 16;
const portsPerProcess = 300;
const script = `
const {freePorts} = await import(${JSON.stringify(moduleUrl)});
console.log(JSON.stringify(await freePorts(${portsPerProcess})));
process.stdin.resume();
`;

async function firstLine(stream: Readable): Promise<string> {
	const [line] = await once(createInterface(stream), 'line') as [string];
	return line;
}

test('concurrent processes never hand out the same port', async t => {
	const children = Array.from({length: processes}, () => spawn(process.execPath, ['--input-type=module', '--eval', script], {stdio: ['pipe', 'pipe', 'inherit']}));
	// Each process keeps its port blocks reserved until all have printed their ports.
	const answers = await Promise.all(children.map(async ({stdout}) => firstLine(stdout)));
	for (const {stdin} of children) {
		stdin.end();
	}

	const ports = answers.flatMap(answer => JSON.parse(answer) as number[]);
	t.is(ports.length, processes * portsPerProcess);
	t.is(new Set(ports).size, ports.length);
});

test('a process hands out each port once', async t => {
	const ports = [...await freePorts(60), ...await freePorts(60)];
	t.is(new Set(ports).size, 120);
});
