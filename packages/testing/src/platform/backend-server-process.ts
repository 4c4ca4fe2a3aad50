#!/usr/bin/env node
/**
Run as a process of its own with an IPC channel: a backend server that announces itself, answers all requests in the same way, and tells its parent process which requests it has executed.

@module
*/
import process from 'node:process';
import {type BackendProcessMessage, type BackendProcessOptions, type BackendProcessQuery} from './backend-process.js';
import {FakeBackendServer} from './fake-backend-server.js';

/** The interval between two announcements, in milliseconds. */
const announceMilliseconds = 300;
const {answer, control, ...identity} = JSON.parse(process.argv[2]!) as BackendProcessOptions;
const server = await FakeBackendServer.start({...identity, host: '127.0.0.1', answer: () => answer});

process.on('message', ({query}: BackendProcessQuery) => {
	send({type: 'runs', query, runs: server.runs.map(({id, path}) => ({id, path}))});
});
process.on('disconnect', () => {
	process.exit();
});
setInterval(() => {
	void server.announce(control);
}, announceMilliseconds);
send({type: 'listening', port: server.port});

function send(message: BackendProcessMessage): void {
	process.send?.(message);
}
