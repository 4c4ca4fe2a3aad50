// A caller of the system's interfaces: one request on one new channel, or several on one.
import {request} from 'node:http';

/** Sends a request; resolves with `status` 0 if the channel broke before an answer. */
export async function call({host, port, method = 'GET', path, headers = {}, body, agent = false, timeout = 5000}) {
	return new Promise(resolve => {
		const payload = body === undefined ? undefined : Buffer.from(body);
		const outgoing = request({
			host, port, method, path, agent, headers: payload === undefined ? headers : {...headers, 'Content-Length': payload.byteLength},
		}, message => {
			let text = '';
			message.setEncoding('utf8');
			message.on('data', chunk => {
				text += chunk;
			});
			message.on('error', () => {});
			message.on('close', () => {
				clearTimeout(timer);
				resolve({status: message.statusCode, headers: message.headers, text, isComplete: message.complete});
			});
		});
		const timer = setTimeout(() => outgoing.destroy(new Error('timeout')), timeout);
		outgoing.on('error', error => {
			clearTimeout(timer);
			resolve({status: 0, headers: {}, text: '', isComplete: false, reason: error.message});
		});
		outgoing.end(payload);
	});
}

/** Sends an order of the operator to the control machines in turn until one acknowledges it. */
export async function order(cores, {method = 'PUT', path, body, port, until = Date.now() + 30_000}) {
	while (Date.now() < until) {
		for (const {ip} of cores) {
			const answer = await call({host: ip, port, method, path, body: body === undefined ? undefined : JSON.stringify(body), headers: {'Content-Type': 'application/json'}, timeout: 1000});
			if (answer.status === 200 || (answer.status >= 400 && answer.status < 500)) {
				return {...answer, core: ip};
			}
		}

		await new Promise(resolve => {
			setTimeout(resolve, 150);
		});
	}

	throw new Error(`No acknowledgement of ${method} ${path}`);
}
