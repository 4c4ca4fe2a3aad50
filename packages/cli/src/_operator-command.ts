import {Command, Errors, Flags} from '@oclif/core';
import {type Failure} from '@valehitch/core';
import {formatProblem, type DocumentProblem} from '@valehitch/settings';
import {type Either} from 'purify-ts';

/** The exit code when another change was committed first. */
const conflictExitCode = 2;

const failureExitCode = 1;
const conflictKinds: ReadonlySet<string> = new Set(['revision-conflict', 'change-id-reused']);

/** The flags of the commands that talk to an instance. */
export const targetFlags = {
	server: Flags.string({
		summary: 'The operators\' address of an instance.', env: 'VALEHITCH_SERVER', default: 'http://127.0.0.1:8082',
	}),
	key: Flags.string({
		summary: 'An operator\'s key; other users of the machine can see it here, so better set VALEHITCH_KEY.', env: 'VALEHITCH_KEY', required: true,
	}),
};

/** An error of a command that keeps the failure for `--json`. */
class CommandError extends Errors.CLIError {
	readonly failed: Failure;
	/** Read by oclif with `--json`; without, it reads the option `exit`. */
	readonly exitCode: number;

	constructor(failed: Failure) {
		const exit = conflictKinds.has(failed.kind) ? conflictExitCode : failureExitCode;
		super(failed.message, {exit});
		this.failed = failed;
		this.exitCode = exit;
	}
}

/** What the commands share: `--json` and the way to end with a failure. */
export abstract class OperatorCommand extends Command {
	static override enableJsonFlag = true;

	/** Gives the right side, or ends the command with the failure. */
	protected unwrap<Value>(result: Either<Failure, Value>): Value {
		return result.ifLeft(failed => this.fail(failed)).unsafeCoerce();
	}

	/** Ends the command with a failure. */
	protected fail(failed: Failure): never {
		throw new CommandError(failed);
	}

	/** Prints problems of documents on the standard error, one a line. */
	protected printProblems(problems: readonly DocumentProblem[]): void {
		for (const problem of problems) {
			this.logToStderr(formatProblem(problem));
		}
	}

	protected override toErrorJson(error: unknown): unknown {
		if (error instanceof CommandError) {
			return {error: error.failed};
		}

		return {error: {message: error instanceof Error ? error.message : String(error)}};
	}
}
