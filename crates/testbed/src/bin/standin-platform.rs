//! Stand-in for the platform; prints the bound address as one line of JSON.

use clap::{Arg, Command};
use serde_json::json;
use tanagerdeal_testbed::control::{end_with_input, end_with_input_flag};
use tokio::net::TcpListener;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let listen = Arg::new("listen").long("listen").default_value("127.0.0.1:0");
    let matches =
        Command::new("standin-platform").arg(listen).arg(end_with_input_flag()).get_matches();
    end_with_input(&matches);
    let address: &String = matches.get_one("listen").expect("the argument has a default");
    let listener = TcpListener::bind(address).await?;
    println!("{}", json!({"address": listener.local_addr()?.to_string()}));
    tanagerdeal_testbed::platform::serve(listener).await
}
