#!/usr/bin/env node
/**
A bare pass-through with Node's http, the floor that the routers' own cost is compared with.

@module
*/
import {Agent, createServer, request as sendRequest} from 'node:http';
import process from 'node:process';
import {parseArgs} from 'node:util';

const {values: flags} = parseArgs({options: {port: {type: 'string', default: '0'}, to: {type: 'string', default: ''}, model: {type: 'string', default: ''}}});
const agent = new Agent({keepAlive: true});
const server = createServer((incoming, outgoing) => {
	const call = sendRequest(`${flags.to}${incoming.url ?? ''}`, {method: incoming.method, headers: incoming.headers, agent}, answer => {
		outgoing.writeHead(answer.statusCode ?? 500, answer.headers);
		answer.pipe(outgoing);
	});
	call.on('error', () => {
		outgoing.destroy();
	});
	incoming.pipe(call);
});
server.listen(Number(flags.port), '127.0.0.1');
process.once('SIGTERM', () => {
	server.close();
	server.closeAllConnections();
	agent.destroy();
});
