import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Args, Flags} from '@oclif/core';
import {
	failure, outcomeOf, type Configuration, type Failure,
} from '@valehitch/core';
import {Left, Right, type Either} from 'purify-ts';
import {readConfiguration} from '../_check-file.js';
import {
	getConfiguration, putConfiguration, type ConfigurationChange, type CommittedChange, type Target,
} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';

const pollIntervalMilliseconds = 500;
const millisecondsPerSecond = 1000;
const defaultWaitSeconds = 60;

/** What `apply --json` prints. */
export type ApplyResult = CommittedChange & {readonly changeId: string};

type WaitOptions = {
	readonly target: Target;
	readonly change: ConfigurationChange;
	/** When to stop waiting, on the monotonic clock. */
	readonly deadline: number;
};

/** Replaces the configuration. */
export class Apply extends OperatorCommand {
	static override readonly summary = 'Replace the configuration with the contents of a file.';
	static override readonly description = 'Exits with 2 on a conflict with another change, with 1 on any other failure. If a response was lost, run again with the same --change-id and --revision.';
	static override readonly args = {file: Args.string({description: 'The configuration in YAML or JSON.', required: true})};
	static override readonly flags = {
		...targetFlags,
		revision: Flags.integer({summary: 'The revision that the change is based on; by default the current one.', min: 0}),
		'change-id': Flags.string({summary: 'The id of the change; random by default.'}),
		wait: Flags.boolean({summary: 'Wait until the change is in force in every zone.', default: false}),
		'wait-seconds': Flags.integer({summary: 'The maximum time to wait, in seconds.', min: 1, default: defaultWaitSeconds}),
	};

	static override readonly examples = ['<%= config.bin %> apply configuration.yaml --wait'];

	/**
	Validates the file and submits it.

	@returns The committed revision, whether it is in force in every zone, and the change id.
	*/
	async run(): Promise<ApplyResult> {
		const {args, flags} = await this.parse(Apply);
		const document = await this.#read(args.file);
		const revision = flags.revision ?? await this.#currentRevision(flags);
		const change: ConfigurationChange = {id: flags['change-id'] ?? randomUUID(), revision, document};
		this.logToStderr(`Change ${change.id} against revision ${revision}`);
		const result = await putConfiguration(flags, change);
		const committed = this.unwrap(result.mapLeft(failed => addChangeDetails(failed, change)));
		this.log(`Committed as revision ${committed.revision}`);
		const deadline = performance.now() + (flags['wait-seconds'] * millisecondsPerSecond);
		const last = flags.wait ? this.unwrap(await waitUntilInForce(committed, {target: flags, change, deadline})) : committed;
		this.log(last.inForce.complete ? 'In force in every zone' : `Not yet in force in ${last.inForce.waitingFor.join(', ')}`);
		return {...last, changeId: change.id};
	}

	async #read(file: string): Promise<Configuration> {
		const read = await readConfiguration(file);
		return this.unwrap(read.mapLeft(problems => {
			this.printProblems(problems);
			return failure('invalid-configuration', `Got ${problems.length} problems in ${file}, wanted a valid configuration`, {details: {problems}});
		}));
	}

	async #currentRevision(target: Target): Promise<number> {
		const {revision} = this.unwrap(await getConfiguration(target));
		return revision;
	}
}

function addChangeDetails(failed: Failure, {id, revision}: ConfigurationChange): Failure {
	const details = {...failed.details, changeId: id, revision};
	if (failed.kind === 'revision-conflict') {
		return {...failed, details, message: conflictMessage(failed, revision)};
	}

	return outcomeOf(failed) === 'unknown'
		? {...failed, details, message: `${failed.message}; it is unknown whether the change was committed; run again with --change-id ${id} --revision ${revision}`}
		: {...failed, details};
}

function conflictMessage({message, details = {}}: Failure, revision: number): string {
	const {currentRevision, currentChangeId} = details;
	const committedBy = typeof currentChangeId === 'string' ? ` by change ${currentChangeId}` : '';
	return typeof currentRevision === 'number'
		? `Another change was committed first${committedBy}: got a change against revision ${revision}, wanted one against revision ${currentRevision}`
		: message;
}

/** Polls by resending the same change, which is idempotent, until the response says that it is in force in every zone. */
async function waitUntilInForce(last: CommittedChange, wait: WaitOptions): Promise<Either<Failure, CommittedChange>> {
	if (last.inForce.complete) {
		return Right(last);
	}

	if (performance.now() >= wait.deadline) {
		const zones = last.inForce.waitingFor.join(', ');
		return Left(failure('deadline-exceeded', `Got revision ${last.revision} committed but not yet in force in ${zones}, wanted it in force in every zone`, {
			outcome: 'ran', details: {...last, changeId: wait.change.id},
		}));
	}

	await sleep(pollIntervalMilliseconds);
	const next = await putConfiguration(wait.target, wait.change);
	return waitUntilInForce(next.orDefault(last), wait);
}
