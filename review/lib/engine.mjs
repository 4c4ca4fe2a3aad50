// A sound engine as PROTOCOL.md has it: registers, answers 421 for another `Expect-Instance`, echoes `Attempt-Id`, and signs what it answers.
import {createServer} from 'node:http';
import {call} from './http.mjs';

export class Engine {
	/** @param options `answer`: called with a run; returns the body, or writes the answer itself and returns undefined. */
	constructor({id, service, host, zone = 'hall-a', version = 'v1', slots = 8, model, answer = () => 'done'}) {
		Object.assign(this, {id, service, host, zone, version, slots, model, answer});
		this.runs = [];
		this.seq = 0;
		this.server = createServer((message, response) => {
			const chunks = [];
			message.on('data', chunk => chunks.push(chunk));
			message.on('error', () => {});
			message.on('end', () => {
				void this.#run(message, response, Buffer.concat(chunks).toString());
			});
		});
	}

	async start(port = 0) {
		await new Promise(resolve => {
			this.server.listen(port, this.host, resolve);
		});
		this.port = this.server.address().port;
	}

	/** Registers at the given control machines until stopped, one ping each `milliseconds`. */
	register(cores, {port, milliseconds = 1200}) {
		let index = 0;
		const ping = async () => {
			for (let tries = 0; tries < cores.length; tries++) {
				const core = cores[index % cores.length];
				const answer = await this.ping(core, {port});
				if (answer.status >= 200 && answer.status < 300) {
					return;
				}

				index++;
			}
		};

		void ping();
		this.timer = setInterval(() => {
			void ping();
		}, milliseconds);
	}

	async ping(core, {port, state = 'ready'}) {
		this.seq++;
		const body = {
			service: this.service, address: `${this.host}:${this.port}`, zone: this.zone, version: this.version, slots: this.slots, state, coldRemainingMs: 0, seq: this.seq,
			...(this.model === undefined ? {} : {stage: 'mixed', models: [{name: this.model, version: 1, adapters: []}]}),
		};
		return call({host: core.ip, port, method: 'PUT', path: `/-/instances/${this.id}`, headers: {'Content-Type': 'application/json'}, body: JSON.stringify(body), timeout: 1000});
	}

	stop() {
		clearInterval(this.timer);
		this.server.close();
		this.server.closeAllConnections();
	}

	async #run({method, url, headers}, response, body) {
		if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) {
			response.writeHead(421, {'Instance-Id': this.id});
			response.end();
			return;
		}

		const id = headers['attempt-id'];
		if (id === undefined) {
			response.writeHead(400, {'Not-Executed': '1'});
			response.end();
			return;
		}

		const run = {id, method, path: url, tenant: headers.tenant, model: headers.model, headers, body, engine: this.id, at: Date.now()};
		this.runs.push(run);
		const answered = await this.answer(run, response);
		if (answered !== undefined && !response.headersSent) {
			response.writeHead(200, {'Attempt-Id': id, 'Response-Signature': `signed.${this.id}.${id}`, 'Content-Type': 'text/plain', 'Content-Length': Buffer.byteLength(answered)});
			response.end(answered);
		}
	}
}
