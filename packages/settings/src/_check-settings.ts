import {type FieldPath, type Finding} from './finding.js';
import {type Settings} from './settings.js';

const maximumControlInstances = 6;

/** Checks constraints that span several fields of the settings. */
export function checkSettings(settings: Settings): readonly Finding[] {
	return [
		...checkControlRole(settings),
		...checkControlCount(settings),
		...checkControlPorts(settings),
		...checkPorts(settings),
		...checkClaimTimes(settings),
		...findDuplicates(settings.roles, index => ['roles', index]),
		...findDuplicates(settings.control.map(entry => entry.instance), index => ['control', index, 'instance']),
		...findDuplicates(settings.keys.sessions.map(session => session.id), index => ['keys', 'sessions', index, 'id']),
	];
}

function * checkControlRole({roles, dataFolder, control, instance}: Settings): Iterable<Finding> {
	if (!roles.includes('control')) {
		return;
	}

	if (dataFolder === undefined) {
		yield {path: ['dataFolder'], got: 'nothing', wanted: 'a folder, since the roles have control'};
	}

	if (!control.some(entry => entry.instance === instance)) {
		yield {path: ['control'], got: `a list without ${instance}`, wanted: `${instance} in the list, since its roles have control`};
	}
}

function * checkControlCount({control}: Settings): Iterable<Finding> {
	if (control.length > maximumControlInstances || control.length % 2 === 0) {
		yield {path: ['control'], got: `a list of ${control.length}`, wanted: `an odd number of instances, at most ${maximumControlInstances}`};
	}
}

function * checkControlPorts({control, instance}: Settings): Iterable<Finding> {
	for (const [index, entry] of control.entries()) {
		if (entry.port === 0 && entry.instance !== instance) {
			yield {path: ['control', index, 'port'], got: '0', wanted: 'the port of another instance, a whole number from 1 to 65535'};
		}
	}
}

function * checkPorts({listen}: Settings): Iterable<Finding> {
	const namesByPort = new Map<number, string>();
	for (const [name, {port}] of Object.entries(listen)) {
		const otherName = namesByPort.get(port);
		if (otherName !== undefined && port !== 0) {
			yield {path: ['listen', name, 'port'], got: `${port}, the port of listen.${otherName}`, wanted: 'a port that no other address uses'};
		}

		namesByPort.set(port, name);
	}
}

function * checkClaimTimes({controlLimits: {claimMilliseconds, claimMinimumMilliseconds}}: Settings): Iterable<Finding> {
	if (claimMinimumMilliseconds > claimMilliseconds) {
		yield {path: ['controlLimits', 'claimMinimumMilliseconds'], got: String(claimMinimumMilliseconds), wanted: `at most claimMilliseconds, ${claimMilliseconds}`};
	}
}

function * findDuplicates(values: readonly string[], pathOf: (index: number) => FieldPath): Iterable<Finding> {
	for (const [index, value] of values.entries()) {
		if (values.indexOf(value) < index) {
			yield {path: pathOf(index), got: `the duplicate ${JSON.stringify(value)}`, wanted: 'unique values'};
		}
	}
}
