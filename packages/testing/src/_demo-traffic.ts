import {
	type DemoRequestSequence, type DemoRequest, workspaceKey,
} from './_demo-plan.js';
import {type ChatMessage, generateFakeTokens} from './fake-answer.js';
import {
	callService, type CallResult, requestChatStream, requestChat,
} from './http-client.js';

/** The result of a request. */
export type DemoResult = CallResult & {
	readonly kind: DemoRequest['kind'];
	/** Whether the response was received completely and has the text that the fake server generates. */
	readonly isWhole: boolean;
};

export type DemoTrafficOptions = {
	/** Addresses of the callers' endpoints, used round-robin. */
	readonly entries: readonly string[];
	/** Number of request sequences in progress at the same time. */
	readonly concurrency: number;
	readonly onResult: (result: DemoResult) => void;
};

type Conversation = {
	readonly messages: ChatMessage[];
	session: string;
};

const defaultAnswerTokens = 16;

/** Sends the requests of all sequences. */
export async function sendTraffic(sequences: readonly DemoRequestSequence[], options: DemoTrafficOptions): Promise<void> {
	const traffic = new TrafficSender(options);
	const queue = sequences.values();
	await Promise.all(Array.from({length: options.concurrency}, async () => traffic.runWorker(queue)));
}

class TrafficSender {
	readonly #options: DemoTrafficOptions;
	#sent = 0;

	constructor(options: DemoTrafficOptions) {
		this.#options = options;
	}

	async runWorker(queue: Iterator<DemoRequestSequence, undefined>): Promise<void> {
		const next = queue.next();
		if (next.done) {
			return;
		}

		await this.#sendSequence(next.value, {messages: [], session: 'new'});
		return this.runWorker(queue);
	}

	async #sendSequence([request, ...later]: DemoRequestSequence, conversation: Conversation): Promise<void> {
		if (!request) {
			return;
		}

		this.#options.onResult(await this.#send(request, conversation));
		return this.#sendSequence(later, conversation);
	}

	async #send({kind, text}: DemoRequest, conversation: Conversation): Promise<DemoResult> {
		const number = this.#sent++;
		const entry = this.#options.entries[number % this.#options.entries.length] ?? '';
		if (kind === 'print') {
			return print(entry, {text, number});
		}

		conversation.messages.push({role: 'user', content: text});
		const messages = [...conversation.messages];
		const result = kind === 'turn'
			? await sendTurn(entry, conversation)
			: await requestChat(entry, {key: workspaceKey, messages, headers: {'Valehitch-Class': kind}});
		conversation.messages.push({role: 'assistant', content: result.text});
		return {...result, kind, isWhole: result.done && result.text === expectedText(result, messages)};
	}
}

async function print(entry: string, {text, number}: {readonly text: string; readonly number: number}): Promise<DemoResult> {
	const body = JSON.stringify({text});
	const result = await callService(entry, {
		key: workspaceKey, service: 'labels', path: '/print', body, headers: {'Idempotency-Key': `print-${number}`},
	});
	return {...result, kind: 'print', isWhole: result.done && result.text.includes(JSON.stringify(body))};
}

async function sendTurn(entry: string, conversation: Conversation): Promise<CallResult> {
	const result = await requestChatStream(entry, {
		key: workspaceKey, messages: conversation.messages, headers: {'Valehitch-Class': 'turn', 'Valehitch-Session': conversation.session},
	});
	conversation.session = headerText(result, 'valehitch-session') || conversation.session;
	return result;
}

function expectedText(result: CallResult, messages: readonly ChatMessage[]): string {
	const version = `${headerText(result, 'valehitch-model')}@${headerText(result, 'valehitch-version')}`;
	return generateFakeTokens({version, messages, tokens: defaultAnswerTokens}).join('');
}

/** Returns a response header, or an empty string if there is none. */
export function headerText({headers}: CallResult, name: string): string {
	const value = headers[name];
	return typeof value === 'string' ? value : '';
}
