import {Args, Flags} from '@oclif/core';
import {
	type Configuration, failure, type Failure, toId, type ZoneId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {updateConfiguration} from '../_change-document.js';
import {type CommittedChange, getStatus} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';

const conflictRetries = 5;

/** Begins or ends the evacuation of an availability zone. */
export class Evacuate extends OperatorCommand {
	static override readonly summary = 'Evacuate an availability zone: its backend servers get no more requests, and finish those in progress.';
	static override readonly description = 'Exits with 2 if another change was committed in the meantime; with --retry, reapplies the change to the newer document up to 5 times.';
	static override readonly args = {zone: Args.string({description: 'The availability zone.', required: true})};
	static override readonly flags = {
		...targetFlags,
		end: Flags.boolean({summary: 'End the evacuation.', default: false}),
		retry: Flags.boolean({summary: 'Try again on the newer document after a conflict.', default: false}),
	};

	static override readonly examples = ['<%= config.bin %> evacuate prairie-south-a', '<%= config.bin %> evacuate prairie-south-a --end --retry'];

	/**
	Checks that the zone has backend servers, and submits the configuration with the changed list of evacuated zones.

	@returns The committed revision, and whether it is in force in every zone.
	*/
	async run(): Promise<CommittedChange> {
		const {args, flags} = await this.parse(Evacuate);
		const zone = toId<ZoneId>(args.zone);
		const status = this.unwrap(await getStatus(flags));
		const known = zonesOf(status);
		const committed = this.unwrap(await updateConfiguration(flags, {
			edit: document => flags.end ? endEvacuation(document, zone) : beginEvacuation(document, {zone, known}),
			retries: flags.retry ? conflictRetries : 0,
			onSend: ({id, revision}) => {
				this.logToStderr(`Change ${id} against revision ${revision}`);
			},
		}));
		this.log(flags.end ? `${zone} serves again with revision ${committed.revision}` : `Evacuated ${zone} with revision ${committed.revision}`);
		this.log(committed.inForce.complete ? 'In force in every zone' : `Not yet in force in ${committed.inForce.waitingFor.join(', ')}`);
		return committed;
	}
}

function zonesOf({servers}: Readonly<Record<string, unknown>>): ReadonlySet<unknown> {
	return new Set(Array.isArray(servers) ? servers.map(server => (server as {readonly zone?: unknown}).zone) : []);
}

function beginEvacuation(document: Configuration, {zone, known}: {readonly zone: ZoneId; readonly known: ReadonlySet<unknown>}): Either<Failure, Configuration> {
	if (!known.has(zone)) {
		return Left(failure('not-found', `Got availability zone ${zone}, wanted one with backend servers: ${[...known].join(', ') || 'there are none'}`));
	}

	return Right({...document, evacuatedZones: [...new Set([...document.evacuatedZones ?? [], zone])]});
}

function endEvacuation({evacuatedZones = [], ...document}: Configuration, zone: ZoneId): Either<Failure, Configuration> {
	const remaining = evacuatedZones.filter(other => other !== zone);
	return Right({...document, ...(remaining.length > 0 && {evacuatedZones: remaining})});
}
