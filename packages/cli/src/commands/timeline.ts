import {readFile, writeFile} from 'node:fs/promises';
import {Args, Flags} from '@oclif/core';
import {failure, type TimelineEvent, timelineEventNames} from '@valehitch/core';
import {EitherAsync} from 'purify-ts';
import {getEvents} from '../_operator-client.js';
import {OperatorCommand} from '../_operator-command.js';
import {formatTable} from '../_table.js';
import {formatSubject, formatTimestamp} from '../timeline/_describe-event.js';
import {filterEvents} from '../timeline/_filter-events.js';
import {mergeEvents, parseLog, toEvent} from '../timeline/_read-events.js';
import {renderTimelinePage} from '../timeline/_timeline-page.js';

const columns: readonly string[] = ['time', 'instance', 'zone', 'event', 'subject'];

/** Prints the timeline events of several processes in causal order. */
export class Timeline extends OperatorCommand {
	static override readonly summary = 'Print the events of several processes in causal order.';
	static override readonly description = 'Reads log files, or the events that running instances still keep. In causal order, no message is received before it was sent.';
	static override readonly strict = false;
	static override readonly args = {file: Args.string({description: 'Log files of valehitchd.'})};
	static override readonly flags = {
		key: Flags.string({summary: 'An operator key for --servers. Prefer VALEHITCH_KEY.', env: 'VALEHITCH_KEY', default: ''}),
		servers: Flags.string({summary: 'The operator addresses of instances, separated by commas.', multiple: true, delimiter: ','}),
		request: Flags.string({summary: 'Only events of this request.'}),
		change: Flags.string({summary: 'Only events of this change.'}),
		version: Flags.string({summary: 'Only events of this version, given as VERSION or MODEL@VERSION.'}),
		server: Flags.string({summary: 'Only events of this backend server.'}),
		zone: Flags.string({summary: 'Only events of instances in this zone.'}),
		event: Flags.string({
			summary: 'Only events with these names.', multiple: true, delimiter: ',', options: [...timelineEventNames],
		}),
		html: Flags.string({summary: 'Write an HTML page with a lane for each process to this file.'}),
	};

	static override readonly examples = [
		'<%= config.bin %> timeline logs/*.log --request 0b2c7d1e-entry-1',
		'<%= config.bin %> timeline --servers http://10.0.0.1:8082,http://10.0.0.2:8082 --html timeline.html',
	];

	/**
	Reads, merges and filters the events, and prints them.

	@returns The events.
	*/
	async run(): Promise<readonly TimelineEvent[]> {
		const {argv, flags} = await this.parse(Timeline);
		const servers = flags.servers ?? [];
		if (argv.length === 0 && servers.length === 0) {
			this.fail(failure('malformed-request', 'Got neither log files nor --servers, wanted one of them'));
		}

		const eventGroups = [
			...await Promise.all(argv.map(async file => this.#readFile(String(file)))),
			...await Promise.all(servers.map(async server => this.#readServer({server, key: flags.key}))),
		];
		const events = filterEvents(mergeEvents(eventGroups.flat()), flags);
		if (flags.html !== undefined) {
			await writeFile(flags.html, renderTimelinePage(events));
			this.logToStderr(`${events.length} events in ${flags.html}`);
			return events;
		}

		const rows = events.map(event => ({...event, time: formatTimestamp(event), subject: formatSubject(event)}));
		for (const line of formatTable(rows, columns)) {
			this.log(line);
		}

		return events;
	}

	async #readFile(file: string): Promise<readonly TimelineEvent[]> {
		const text = await EitherAsync<Error, string>(async () => readFile(file, 'utf8')).run();
		const {events, unreadable} = parseLog(this.unwrap(text.mapLeft(({message}) => failure('not-found', `Got an error (${message}), wanted a readable log file`))));
		if (unreadable > 0) {
			this.logToStderr(`${file}: ${unreadable} events could not be read`);
		}

		return events;
	}

	async #readServer(target: {readonly server: string; readonly key: string}): Promise<readonly TimelineEvent[]> {
		const {events, dropped} = this.unwrap(await getEvents(target, 0));
		if (dropped > 0) {
			this.logToStderr(`${target.server}: ${dropped} older events are no longer kept; its log has them`);
		}

		return events.map(event => toEvent(event)).filter(event => event !== undefined);
	}
}
