/**
Simulates a network partition between zones.

Preloaded with `node --import` into the daemons and fakes of a measurement, it rereads the partition on SIGUSR2 and blocks outgoing connections to partitioned zones, which it identifies by port.
An open connection is destroyed and a new one never connects, as when a firewall drops the packets.

@module
*/
import {readFileSync} from 'node:fs';
import {Socket} from 'node:net';
import process from 'node:process';
import {type ZoneCut, zoneCutVariable} from '../measure/zone-cut-file.js';

type OutgoingConnection = {readonly port: number; readonly socket: Socket};

const zoneFlag = '--zone=';
const ownZone = findZone();
const connections = new Set<OutgoingConnection>();
let partition: ZoneCut = {zoneOfPort: {}, cutZones: []};

if (ownZone !== undefined) {
	const connect = Reflect.get(Socket.prototype, 'connect') as (...parameters: readonly unknown[]) => Socket;
	Reflect.set(Socket.prototype, 'connect', function (this: Socket, ...parameters: readonly unknown[]): Socket {
		const port = portOf(parameters);
		if (isPartitioned(port)) {
			Reflect.set(this, 'connecting', true);
			return this;
		}

		const entry = {port, socket: this};
		connections.add(entry);
		this.once('close', () => {
			connections.delete(entry);
		});
		return Reflect.apply<Socket, readonly unknown[], Socket>(connect, this, parameters);
	});
	process.on('SIGUSR2', () => {
		partition = JSON.parse(readFileSync(process.env[zoneCutVariable] ?? '', 'utf8')) as ZoneCut;
		for (const {port, socket} of connections) {
			if (isPartitioned(port)) {
				socket.destroy(new Error('Connection blocked by a simulated zone partition'));
			}
		}
	});
}

function isPartitioned(port: number): boolean {
	const other = partition.zoneOfPort[String(port)];
	return other !== undefined && other !== ownZone && (partition.cutZones.includes(other) || partition.cutZones.includes(ownZone ?? ''));
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
