import {Args, Flags} from '@oclif/core';
import {
	type Configuration, failure, type Failure, type ModelId, toId, type VersionId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {changeDocument} from '../_change-document.js';
import {type Committed} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';

const retriesWithFlag = 5;

/** Withdraws a version. */
export class Withdraw extends OperatorCommand {
	static override readonly summary = 'Withdraw a version: it gets no new work, and its sessions end.';
	static override readonly description = 'Exits with 2 when another change was committed in between; with --retry the change is made again on the newer document, up to 5 times.';
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
	Reads the configuration, withdraws the version in it, and applies it.

	@returns The revision and where it is in force.
	*/
	async run(): Promise<Committed> {
		const {args, flags} = await this.parse(Withdraw);
		const committed = this.unwrap(await changeDocument(flags, {
			edit: document => withdrawFrom(document, {model: toId<ModelId>(args.model), version: toId<VersionId>(args.version)}),
			retries: flags.retry ? retriesWithFlag : 0,
			onSend: ({id, revision}) => {
				this.logToStderr(`Change ${id} against revision ${revision}`);
			},
		}));
		this.log(`Withdrawn with revision ${committed.revision}`);
		this.log(committed.inForce.complete ? 'In force in every zone' : `Not yet in force in ${committed.inForce.waitingFor.join(', ')}`);
		return committed;
	}
}

function withdrawFrom(document: Configuration, {model, version}: {readonly model: ModelId; readonly version: VersionId}): Either<Failure, Configuration> {
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
