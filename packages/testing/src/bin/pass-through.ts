#!/usr/bin/env node
/**
A minimal HTTP proxy on `node:http`, the baseline for the overhead of the routers.

@module
*/
import {Agent, createServer, request as sendRequest} from 'node:http';
import process from 'node:process';
import {parseArgs} from 'node:util';

const {values: flags} = parseArgs({options: {port: {type: 'string', default: '0'}, to: {type: 'string', default: ''}, model: {type: 'string', default: ''}}});
const agent = new Agent({keepAlive: true});
const server = createServer((incoming, outgoing) => {
	const proxied = sendRequest(`${flags.to}${incoming.url ?? ''}`, {method: incoming.method, headers: incoming.headers, agent}, response => {
		outgoing.writeHead(response.statusCode ?? 500, response.headers);
		response.pipe(outgoing);
	});
	proxied.on('error', () => {
		outgoing.destroy();
	});
	incoming.pipe(proxied);
});
server.listen(Number(flags.port), '127.0.0.1');
process.once('SIGTERM', () => {
	server.close();
	server.closeAllConnections();
	agent.destroy();
});
