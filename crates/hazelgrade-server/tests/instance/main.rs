mod common;
mod crossings;
mod fleet;
mod input;
mod process;
mod serving;
