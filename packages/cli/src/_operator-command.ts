import {Command, Errors, Flags} from '@oclif/core';
import {type Failure} from '@valehitch/core';
import {formatProblem, type DocumentProblem} from '@valehitch/settings';
import {type Either} from 'purify-ts';

/** The exit code for a conflict with another committed change. */
const conflictExitCode = 2;

const failureExitCode = 1;
const conflictKinds: ReadonlySet<string> = new Set(['revision-conflict', 'change-id-reused']);

/** The flags of the commands that call the operator API of an instance. */
export const targetFlags = {
	server: Flags.string({
		summary: 'The operator address of an instance.', env: 'VALEHITCH_SERVER', default: 'http://127.0.0.1:8082',
	}),
	key: Flags.string({
		summary: 'An operator key. Other users of the machine can see command-line flags, so prefer VALEHITCH_KEY.', env: 'VALEHITCH_KEY', required: true,
	}),
};

/** The flag of the commands that ask an instance at its metrics port. */
export const instanceFlags = {
	instance: Flags.string({summary: 'The host and metrics port of an instance, such as 10.1.0.40:9464.', env: 'VALEHITCH_INSTANCE', required: true}),
};

/** A command error that carries the failure for the output of `--json`. */
class CommandError extends Errors.CLIError {
	readonly failure: Failure;
	/** The exit code, which oclif reads with `--json`; without it, oclif reads the option `exit`. */
	readonly exitCode: number;

	constructor(failure: Failure) {
		const exit = conflictKinds.has(failure.kind) ? conflictExitCode : failureExitCode;
		super(failure.message, {exit});
		this.failure = failure;
		this.exitCode = exit;
	}
}

/** The base class of all commands: supports `--json` and exits with a failure. */
export abstract class OperatorCommand extends Command {
	static override enableJsonFlag = true;

	/** Returns the right value, or throws the failure as a command error. */
	protected unwrap<Value>(result: Either<Failure, Value>): Value {
		return result.ifLeft(failure => this.fail(failure)).unsafeCoerce();
	}

	/** Throws a failure as a command error. */
	protected fail(failure: Failure): never {
		throw new CommandError(failure);
	}

	/** Prints document problems to standard error, one per line. */
	protected printProblems(problems: readonly DocumentProblem[]): void {
		for (const problem of problems) {
			this.logToStderr(formatProblem(problem));
		}
	}

	protected override toErrorJson(error: unknown): unknown {
		if (error instanceof CommandError) {
			return {error: error.failure};
		}

		return {error: {message: error instanceof Error ? error.message : String(error)}};
	}
}
