// A small deployment on loopback addresses: the project's programs with the commands of the deploy file, and settings as in DEPLOY.md.
import {spawn} from 'node:child_process';
import {createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
const deployFile = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');

/** The `run` line of a role, split at spaces. */
function runOf(role) {
	return new RegExp(String.raw`\[roles\.${role}\]\s+run = "([^"]+)"`).exec(deployFile)[1].split(' ');
}

const zones = ['hall-a', 'hall-b', 'hall-c'];
export const ports = {front: 8227, ready: 8220, control: 8229, peers: 7340, lastPeers: 7355};
/** The values of the page SYSTEM for the site cfmsu-coiltrace. */
const bounds = {
	seedLagS: 3, reuseAfterS: 2, connectivityWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, outerMs: 5000, strictRevoke: true, revokeMs: 5000, retryBudgetRatio: 0.9, retryWindowS: 10, retrySlack: 54, canaryShare: 0.15, canarySlack: 30, rollbackMs: 5000, recoveryS: 12, passMs: 120, reuseWindowS: 8.8, sessionS: 5,
};

/** Binds a port on an address of a random loopback subnet, so that no other deployment uses it. */
async function reserveSubnet() {
	for (let attempt = 0; attempt < 100; attempt++) {
		const prefix = `127.${10 + Math.floor(Math.random() * 240)}.${Math.floor(Math.random() * 250)}`;
		const lock = createServer();
		const isFree = await new Promise(resolve => {
			lock.once('error', () => resolve(false));
			lock.listen(8228, `${prefix}.254`, () => resolve(true));
		});
		if (isFree) {
			lock.unref();
			return prefix;
		}
	}

	throw new Error('No loopback subnet is free');
}

export class Deployment {
	static async create({fronts = 2, cores = 3, settings = {}, bounds: changedBounds = {}} = {}) {
		return new Deployment({prefix: await reserveSubnet(), fronts, cores, settings, changedBounds});
	}

	constructor({prefix, fronts, cores, settings, changedBounds}) {
		this.prefix = prefix;
		this.folder = mkdtempSync(path.join(tmpdir(), 'valehitch-review-'));
		this.cores = Array.from({length: cores}, (_, index) => this.#machine(`core-${index + 1}`, {ip: `${prefix}.${index + 1}`, zone: zones[index % 3], role: 'control'}));
		this.fronts = Array.from({length: fronts}, (_, index) => this.#machine(`front-${index + 1}`, {ip: `${prefix}.${index + 11}`, zone: zones[index % 3], role: 'entry'}));
		this.settings = settings;
		this.bounds = {...bounds, ...changedBounds};
		process.once('exit', () => this.stop());
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => process.exit(2));
		}
	}

	get machines() {
		return [...this.cores, ...this.fronts];
	}

	start(machine, {bootstrap = true} = {}) {
		const {name, ip, zone, role} = machine;
		const isCore = role === 'control';
		writeFileSync(machine.file, JSON.stringify({
			node: name, role, machineClass: isCore ? 'core' : 'front', serves: [isCore ? 'control' : 'front'], ip, zone, region: 'prairie-south',
			zones: Object.fromEntries(zones.map(other => [other, 'prairie-south'])),
			listen: isCore ? {control: `${ip}:${ports.control}`} : {front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`},
			portRange: [ports.peers, ports.lastPeers],
			seeds: this.cores.slice(0, 3).map(core => `${core.ip}:${ports.control}`),
			bootstrap, toleranceMember: isCore,
			limits: {cpuShare: isCore ? 0.81 : 0.675, cores: 1, memoryMb: isCore ? 346 : 350, maxFds: 4100, linkMbps: 1000, diskMb: isCore ? 128 : 0},
			dataDir: isCore ? machine.data : null,
			discovery: 'registry', entry: 'vip', heartbeatMs: 1200,
			contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'rollout'],
			faultTolerance: {machines: 1, zones: 1, regions: 0}, bounds: this.bounds, configMode: 'highest', ...this.settings,
		}));
		const [program, ...words] = runOf(role);
		const child = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME ?? '/', LANG: process.env.LANG ?? 'C', VALEHITCH_CONFIG: machine.file},
		});
		const log = createWriteStream(machine.log, {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		machine.child = child;
		machine.exit = undefined;
		child.once('exit', (code, signal) => {
			if (machine.child === child) {
				machine.child = undefined;
				machine.exit = {code, signal, at: Date.now()};
			}
		});
	}

	startAll(options) {
		for (const machine of this.machines) {
			this.start(machine, options);
		}
	}

	logOf(machine) {
		return readFileSync(machine.log, 'utf8');
	}

	stop() {
		for (const {child} of this.machines) {
			child?.kill('SIGKILL');
		}

		rmSync(this.folder, {recursive: true, force: true});
	}

	#machine(name, {ip, zone, role}) {
		const data = path.join(this.folder, name);
		if (role === 'control') {
			mkdirSync(data, {recursive: true});
		}

		return {name, ip, zone, role, data, file: path.join(this.folder, `${name}.yaml`), log: path.join(this.folder, `${name}.log`), child: undefined};
	}
}

export const sleep = async milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});
