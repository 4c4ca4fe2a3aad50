#!/usr/bin/env node
import {once} from 'node:events';
import {rm} from 'node:fs/promises';
import process from 'node:process';
import {inspect, parseArgs} from 'node:util';
import {
	demoBackends, demoConfiguration, demoDaemons, planRequestSequences, workspace, workspaceKey,
} from '../_demo-plan.js';
import {type DemoReport, compareBills, formatDemoReport} from '../_demo-report.js';
import {type DemoResult, sendTraffic} from '../_demo-traffic.js';
import {deploymentKeys} from '../_settings-file.js';
import {type Deployment, type LedgerBill, startDeployment} from '../deployment.js';
import {waitUntil} from '../wait-until.js';

const folder = 'demo-output';
const requestCount = 200;
const concurrency = 16;
const progressEvery = 25;
const ledgerTimeoutMilliseconds = 10_000;
const interruptedExitCode = 130;
const {values: flags} = parseArgs({options: {keep: {type: 'boolean', default: false}}});

process.on('SIGINT', interrupt);
process.on('SIGTERM', interrupt);
await rm(folder, {recursive: true, force: true});
print(`Starting ${demoDaemons.length} daemons and ${demoBackends.length} fake backend servers; logs are in ${folder}/`);
const deployment = await startDeployment({
	daemons: demoDaemons, backends: demoBackends, configuration: demoConfiguration, folder,
});
process.exitCode = await runUntilInterrupted(deployment);

async function runUntilInterrupted(running: Deployment): Promise<number> {
	const interrupted = nextSignal();
	const ended = await Promise.race([run(running), interrupted]);
	if (flags.keep && typeof ended !== 'number') {
		printReport(ended);
		printExampleRequests(running);
		await interrupted;
	}

	print('Stopping all processes with SIGTERM');
	const failedNames = await running.stop();
	for (const name of failedNames) {
		print(`${name} did not exit with code 0; see ${folder}/${name}.log`);
	}

	if (typeof ended === 'number') {
		return ended;
	}

	printReport(ended);
	return ended.isMatch ? 0 : 1;
}

function printReport({lines}: DemoReport): void {
	for (const line of lines) {
		print(line);
	}
}

async function run(running: Deployment): Promise<DemoReport> {
	const results: DemoResult[] = [];
	print(`Sending ${requestCount} requests, ${concurrency} at a time`);
	await sendTraffic(planRequestSequences(requestCount), {
		entries: running.daemons.map(({callers}) => callers),
		concurrency,
		onResult(result) {
			results.push(result);
			if (results.length % progressEvery === 0) {
				const complete = results.filter(({isWhole}) => isWhole).length;
				print(`${results.length} of ${requestCount} requests finished, ${complete} with a complete response`);
			}
		},
	});
	return formatDemoReport(results, await readBills(running, results));
}

/** Reads the ledger until it matches the responses, since bills can be recorded slightly later. */
async function readBills(running: Deployment, results: readonly DemoResult[]): Promise<readonly LedgerBill[]> {
	let bills: readonly LedgerBill[] = [];
	try {
		await waitUntil(async () => {
			bills = await running.ledger(workspace);
			return compareBills(results, bills).isMatch || undefined;
		}, {description: 'bills that match the responses', timeoutMilliseconds: ledgerTimeoutMilliseconds, intervalMilliseconds: 200});
	} catch (error) {
		print(inspect(error));
	}

	return bills;
}

function printExampleRequests(running: Deployment): void {
	const [daemon] = running.daemons;
	if (!daemon) {
		return;
	}

	const callerKey = `-H 'Authorization: Bearer ${workspaceKey}'`;
	const operatorKey = `-H 'Authorization: Bearer ${deploymentKeys.operators}'`;
	const body = '{"model":"auto","messages":[{"role":"user","content":"Tag crate 17"}]}';
	print(`The demo runs until Ctrl-C. Try:
curl ${callerKey} -H 'Content-Type: application/json' -H 'Valehitch-Class: lookup' -d '${body}' ${daemon.callers}/v1/chat/completions
curl -X POST ${callerKey} -H 'Idempotency-Key: mine-1' -d '{"text":"Crate 17"}' ${daemon.callers}/services/labels/print
curl ${operatorKey} ${daemon.operators}/v1/status
curl ${operatorKey} '${daemon.operators}/v1/ledger?workspace=${workspace}&after=0'`);
}

async function nextSignal(): Promise<number> {
	process.off('SIGINT', interrupt);
	process.off('SIGTERM', interrupt);
	await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
	return interruptedExitCode;
}

// Handles signals during startup: exiting kills the processes that have started.
function interrupt(): void {
	process.exit(interruptedExitCode);
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}
