/**
 * Registers the module hooks that replace product modules by ones without their
 * guard. It is loaded with `--import` before the daemon, so the product itself
 * needs no switch for proofs.
 *
 * @module
 */
import {register} from 'node:module';

register('./replace-hooks.js', import.meta.url);
