import {type InstanceId} from '@valehitch/core';
import {type GatewayCommand} from './gateway-command.js';

/** The format of the commands that this version reads. */
export const currentCommandFormat = 2;

/** The format of instances that do not name one. */
const firstCommandFormat = 1;

const formats: Readonly<Record<GatewayCommand['type'], number>> = {
	'put-configuration': 1, 'start-rollout': 1, 'advance-rollout': 1, 'set-evacuation': 2,
};

/**
Tracks which commands the other control instances can read. A command that one of them cannot read would end its process, so it is not committed before that instance is updated.

@example
```ts
const formats = new CommandFormats();
formats.record(instance, 1);
formats.findUnable('set-evacuation', [instance]); // instance
```
*/
export class CommandFormats {
	readonly #formats = new Map<InstanceId, number>();

	/**
	Records the format that an instance names in a message.

	@param instance The instance.
	@param format The format; undefined if the message names none.
	*/
	record(instance: InstanceId, format: number | undefined): void {
		this.#formats.set(instance, format ?? firstCommandFormat);
	}

	/**
	Finds an instance that is known to be unable to read a command.

	@param type The type of the command.
	@param members The members of the group.
	@returns The first such member; undefined if there is none.
	*/
	findUnable(type: GatewayCommand['type'], members: readonly InstanceId[]): InstanceId | undefined {
		return members.find(member => (this.#formats.get(member) ?? currentCommandFormat) < formats[type]);
	}
}
