import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Args, Flags} from '@oclif/core';
import {
	failure, outcomeOf, type Configuration, type Failure,
} from '@valehitch/core';
import {Left, Right, type Either} from 'purify-ts';
import {readConfiguration} from '../_check-file.js';
import {
	getConfiguration, putConfiguration, type Change, type Committed, type Target,
} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';

const pauseBetweenLooksMilliseconds = 500;
const millisecondsPerSecond = 1000;
const defaultWaitSeconds = 60;

/** What `apply --json` prints. */
export type ApplyResult = Committed & {readonly changeId: string};

type Wait = {
	readonly target: Target;
	readonly change: Change;
	/** When to give up, on the monotonic clock. */
	readonly until: number;
};

/** Replaces the configuration. */
export class Apply extends OperatorCommand {
	static override readonly summary = 'Replace the configuration by that of a file.';
	static override readonly description = 'Exits with 2 on a conflict with another change, with 1 on any other failure. Run again with the same --change-id and --revision when an answer was lost.';
	static override readonly args = {file: Args.string({description: 'The configuration in YAML or JSON.', required: true})};
	static override readonly flags = {
		...targetFlags,
		revision: Flags.integer({summary: 'The revision that the change was made against; by default the current one.', min: 0}),
		'change-id': Flags.string({summary: 'Names the change; random by default.'}),
		wait: Flags.boolean({summary: 'Wait until every zone has the change in force.', default: false}),
		'wait-seconds': Flags.integer({summary: 'How many seconds to wait at most.', min: 1, default: defaultWaitSeconds}),
	};

	static override readonly examples = ['<%= config.bin %> apply configuration.yaml --wait'];

	/**
	Checks the file and sends it.

	@returns The revision and where it is in force.
	*/
	async run(): Promise<ApplyResult> {
		const {args, flags} = await this.parse(Apply);
		const document = await this.#read(args.file);
		const revision = flags.revision ?? await this.#currentRevision(flags);
		const change: Change = {id: flags['change-id'] ?? randomUUID(), revision, document};
		this.logToStderr(`Change ${change.id} against revision ${revision}`);
		const sent = await putConfiguration(flags, change);
		const committed = this.unwrap(sent.mapLeft(failed => explain(failed, change)));
		this.log(`Committed as revision ${committed.revision}`);
		const until = performance.now() + (flags['wait-seconds'] * millisecondsPerSecond);
		const last = flags.wait ? this.unwrap(await waitInForce(committed, {target: flags, change, until})) : committed;
		this.log(last.inForce.complete ? 'In force in every zone' : `Not yet in force in ${last.inForce.waitingFor.join(', ')}`);
		return {...last, changeId: change.id};
	}

	async #read(file: string): Promise<Configuration> {
		const read = await readConfiguration(file);
		return this.unwrap(read.mapLeft(problems => {
			this.printProblems(problems);
			return failure('invalid-configuration', `Got ${problems.length} problems in ${file}, wanted a sound configuration`, {details: {problems}});
		}));
	}

	async #currentRevision(target: Target): Promise<number> {
		const {revision} = this.unwrap(await getConfiguration(target));
		return revision;
	}
}

function explain(failed: Failure, {id, revision}: Change): Failure {
	const details = {...failed.details, changeId: id, revision};
	if (failed.kind === 'revision-conflict') {
		return {...failed, details, message: conflictMessage(failed, revision)};
	}

	return outcomeOf(failed) === 'unknown'
		? {...failed, details, message: `${failed.message}; it is not known whether the change was committed, run again with --change-id ${id} --revision ${revision}`}
		: {...failed, details};
}

function conflictMessage({message, details = {}}: Failure, revision: number): string {
	const {currentRevision, currentChangeId} = details;
	const winner = typeof currentChangeId === 'string' ? ` by change ${currentChangeId}` : '';
	return typeof currentRevision === 'number'
		? `Another change was committed first${winner}: got a change against revision ${revision}, wanted one against revision ${currentRevision}`
		: message;
}

/** Sends the same change again, which commits nothing anew, until its answer says that it is in force. */
async function waitInForce(last: Committed, wait: Wait): Promise<Either<Failure, Committed>> {
	if (last.inForce.complete) {
		return Right(last);
	}

	if (performance.now() >= wait.until) {
		const zones = last.inForce.waitingFor.join(', ');
		return Left(failure('deadline-exceeded', `Got revision ${last.revision} committed but not yet in force in ${zones}, wanted it in force in every zone`, {
			outcome: 'ran', details: {...last, changeId: wait.change.id},
		}));
	}

	await sleep(pauseBetweenLooksMilliseconds);
	const next = await putConfiguration(wait.target, wait.change);
	return waitInForce(next.orDefault(last), wait);
}
