import {Args, Flags} from '@oclif/core';
import {
	type Configuration, failure, type Failure, type ModelId, toId, type VersionId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {updateConfiguration} from '../_change-document.js';
import {type CommittedChange} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';

const conflictRetries = 5;

/** Withdraws a version of a model. */
export class Withdraw extends OperatorCommand {
	static override readonly summary = 'Withdraw a version: it gets no new requests, and its sessions end.';
	static override readonly description = 'Exits with 2 if another change was committed in the meantime; with --retry, reapplies the change to the newer document up to 5 times.';
	static override readonly args = {
		model: Args.string({description: 'The model.', required: true}),
		version: Args.string({description: 'The version.', required: true}),
	};

	static override readonly flags = {
		...targetFlags,
		retry: Flags.boolean({summary: 'Try again on the newer document after a conflict.', default: false}),
	};

	static override readonly examples = ['<%= config.bin %> withdraw tag-small 1.1 --retry'];

	/**
	Fetches the configuration, marks the version as withdrawn, and submits the result.

	@returns The committed revision, and whether it is in force in every zone.
	*/
	async run(): Promise<CommittedChange> {
		const {args, flags} = await this.parse(Withdraw);
		const committed = this.unwrap(await updateConfiguration(flags, {
			edit: document => withdrawVersion(document, {model: toId<ModelId>(args.model), version: toId<VersionId>(args.version)}),
			retries: flags.retry ? conflictRetries : 0,
			onSend: ({id, revision}) => {
				this.logToStderr(`Change ${id} against revision ${revision}`);
			},
		}));
		this.log(`Withdrawn with revision ${committed.revision}`);
		this.log(committed.inForce.complete ? 'In force in every zone' : `Not yet in force in ${committed.inForce.waitingFor.join(', ')}`);
		return committed;
	}
}

function withdrawVersion(document: Configuration, {model, version}: {readonly model: ModelId; readonly version: VersionId}): Either<Failure, Configuration> {
	const versions = document.models[model]?.versions;
	const details = versions?.[version];
	if (details === undefined) {
		return Left(failure('unknown-model', `Got ${model} ${version}, wanted a version of the configuration in force`));
	}

	return Right({
		...document,
		models: {...document.models, [model]: {...document.models[model], versions: {...versions, [version]: {...details, state: 'withdrawn'}}}},
	});
}
