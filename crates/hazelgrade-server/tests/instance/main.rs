mod common;
mod input;
mod process;
mod serving;
