/**
Cuts a process off from other zones: preloaded by `node --import` into the daemons and fakes of a measurement, it drops outgoing connections by their port when SIGUSR2 comes.

A cut connection is reset and a new one is never answered, as where a firewall drops its packets.

@module
*/
import {readFileSync} from 'node:fs';
import {Socket} from 'node:net';
import process from 'node:process';
import {type ZoneCut, zoneCutVariable} from '../measure/zone-cut-file.js';

type Reached = {readonly port: number; readonly socket: Socket};

const zoneFlag = '--zone=';
const ownZone = findZone();
const reached = new Set<Reached>();
let current: ZoneCut = {zoneOfPort: {}, cutZones: []};

if (ownZone !== undefined) {
	const connect = Reflect.get(Socket.prototype, 'connect') as (...parameters: readonly unknown[]) => Socket;
	Reflect.set(Socket.prototype, 'connect', function (this: Socket, ...parameters: readonly unknown[]): Socket {
		const port = portOf(parameters);
		if (isCut(port)) {
			Reflect.set(this, 'connecting', true);
			return this;
		}

		const entry = {port, socket: this};
		reached.add(entry);
		this.once('close', () => {
			reached.delete(entry);
		});
		return Reflect.apply<Socket, readonly unknown[], Socket>(connect, this, parameters);
	});
	process.on('SIGUSR2', () => {
		current = JSON.parse(readFileSync(process.env[zoneCutVariable] ?? '', 'utf8')) as ZoneCut;
		for (const {port, socket} of reached) {
			if (isCut(port)) {
				socket.destroy(new Error('Got a cut between zones'));
			}
		}
	});
}

function isCut(port: number): boolean {
	const other = current.zoneOfPort[String(port)];
	return other !== undefined && other !== ownZone && (current.cutZones.includes(other) || current.cutZones.includes(ownZone ?? ''));
}

function portOf(parameters: readonly unknown[]): number {
	const [first] = parameters;
	const options: unknown = Array.isArray(first) ? first[0] : first;
	return typeof options === 'object' && options !== null ? Number(Reflect.get(options, 'port')) : Number(options);
}

function findZone(): string | undefined {
	const flag = process.argv.find(argument => argument.startsWith(zoneFlag));
	if (flag !== undefined) {
		return flag.slice(zoneFlag.length);
	}

	const settings = process.argv[process.argv.indexOf('--settings') + 1];
	return process.argv.includes('--settings') && settings !== undefined
		? (JSON.parse(readFileSync(settings, 'utf8')) as {readonly zone: string}).zone
		: undefined;
}
