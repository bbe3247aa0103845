#!/usr/bin/env node
import '../dist/node/main.js';
